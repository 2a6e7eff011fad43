package incarnation_test

import (
	"testing"

	"yarrowgrade.example/yarrowgrade/internal/goldentest"
	"yarrowgrade.example/yarrowgrade/jobs/incarnation"
)

// storedIDs is a document that contains an ID as a value, as an optional value and as a key.
type storedIDs struct {
	At    incarnation.ID            `json:"at"`
	Maybe incarnation.ID            `json:"maybe,omitzero"`
	Seen  map[incarnation.ID]string `json:"seen"`
}

// TestGoldenID checks the stored form: the instance and the start time, joined by an @.
func TestGoldenID(t *testing.T) {
	id := incarnation.ID{Instance: "i-7f3a91c2", StartMillis: 1764722812345}
	goldentest.JSON(t, "id", storedIDs{At: id, Maybe: id, Seen: map[incarnation.ID]string{id: "side-a-1"}})
}

// TestGoldenIDWithoutStart checks that an ID without a start time, as older versions stored it,
// consists of the instance alone. An instance may contain the separator.
func TestGoldenIDWithoutStart(t *testing.T) {
	tests := []struct {
		name string
		id   incarnation.ID
	}{
		{"id-without-start", incarnation.ID{Instance: "i-7f3a91c2"}},
		{"id-with-separator", incarnation.ID{Instance: "a@b", StartMillis: 7}},
		{"id-not-a-number", incarnation.ID{Instance: "i-1@x"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			goldentest.Bytes(t, test.name+".txt", []byte(test.id.String()))
			if got := incarnation.Parse(string(goldentest.Read(t, test.name+".txt"))); got != test.id {
				t.Errorf("parsed %+v, want %+v", got, test.id)
			}
		})
	}
}
