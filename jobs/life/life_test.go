package life_test

import (
	"encoding/json"
	"testing"

	"pgregory.net/rapid"

	"yarrowgrade.example/yarrowgrade/jobs/life"
)

func TestText(t *testing.T) {
	tests := []struct {
		text string
		want life.ID
	}{
		{"", life.ID{}},
		{"i-1", life.ID{Instance: "i-1"}},
		{"i-1@1764722812345", life.ID{Instance: "i-1", Born: 1764722812345}},
		{"a@b@7", life.ID{Instance: "a@b", Born: 7}},
		{"i-1@x", life.ID{Instance: "i-1@x"}},
		{"i-1@", life.ID{Instance: "i-1@"}},
		{"i-1@-5", life.ID{Instance: "i-1@-5"}},
	}
	for _, test := range tests {
		got := life.Parse(test.text)
		if got != test.want || got.String() != test.text {
			t.Errorf("Parse(%q) = %+v, and back %q", test.text, got, got.String())
		}
	}
}

// TestJSON: lives are values and keys of what is stored, and come back as they were.
func TestJSON(t *testing.T) {
	type stored struct {
		At   life.ID         `json:"at,omitzero"`
		Open map[life.ID]int `json:"open,omitempty"`
	}
	rapid.Check(t, func(rt *rapid.T) {
		id := life.ID{Instance: rapid.StringMatching("[a-z0-9-]{1,12}").Draw(rt, "instance"), Born: rapid.Int64Min(0).Draw(rt, "born")}
		data, err := json.Marshal(stored{At: id, Open: map[life.ID]int{id: 1}})
		if err != nil {
			rt.Fatal(err)
		}
		var back stored
		if err := json.Unmarshal(data, &back); err != nil {
			rt.Fatal(err)
		}
		if back.At != id || back.Open[id] != 1 {
			rt.Fatalf("%s came back as %+v", data, back)
		}
	})
	if data, _ := json.Marshal(stored{}); string(data) != "{}" {
		t.Errorf("no life is stored as %s", data)
	}
}
