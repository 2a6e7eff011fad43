package incarnation_test

import (
	"encoding/json"
	"testing"

	"pgregory.net/rapid"

	"yarrowgrade.example/yarrowgrade/jobs/incarnation"
)

func TestText(t *testing.T) {
	tests := []struct {
		text string
		want incarnation.ID
	}{
		{"", incarnation.ID{}},
		{"i-1", incarnation.ID{Instance: "i-1"}},
		{"i-1@1764722812345", incarnation.ID{Instance: "i-1", StartMillis: 1764722812345}},
		{"a@b@7", incarnation.ID{Instance: "a@b", StartMillis: 7}},
		{"i-1@x", incarnation.ID{Instance: "i-1@x"}},
		{"i-1@", incarnation.ID{Instance: "i-1@"}},
		{"i-1@-5", incarnation.ID{Instance: "i-1@-5"}},
	}
	for _, test := range tests {
		got := incarnation.Parse(test.text)
		if got != test.want || got.String() != test.text {
			t.Errorf("Parse(%q) = %+v, whose text form is %q", test.text, got, got.String())
		}
	}
}

// TestJSON checks that IDs are unchanged after being stored and read, both as values and as map
// keys.
func TestJSON(t *testing.T) {
	type stored struct {
		At   incarnation.ID         `json:"at,omitzero"`
		Open map[incarnation.ID]int `json:"open,omitempty"`
	}
	rapid.Check(t, func(rt *rapid.T) {
		id := incarnation.ID{
			Instance:    rapid.StringMatching("[a-z0-9-]{1,12}").Draw(rt, "instance"),
			StartMillis: rapid.Int64Min(0).Draw(rt, "born"),
		}
		data, err := json.Marshal(stored{At: id, Open: map[incarnation.ID]int{id: 1}})
		if err != nil {
			rt.Fatal(err)
		}
		var back stored
		if err := json.Unmarshal(data, &back); err != nil {
			rt.Fatal(err)
		}
		if back.At != id || back.Open[id] != 1 {
			rt.Fatalf("%s was decoded as %+v", data, back)
		}
	})
	if data, _ := json.Marshal(stored{}); string(data) != "{}" {
		t.Errorf("a document without an incarnation is stored as %s", data)
	}
}
