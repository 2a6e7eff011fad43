package life_test

import (
	"testing"

	"yarrowgrade.example/yarrowgrade/internal/goldentest"
	"yarrowgrade.example/yarrowgrade/jobs/life"
)

// storedLives is a document with an ID as a value, as an optional value and as a key.
type storedLives struct {
	At    life.ID            `json:"at"`
	Maybe life.ID            `json:"maybe,omitzero"`
	Seen  map[life.ID]string `json:"seen"`
}

// TestGoldenID: the stored form has the instance and the time of the start, joined by an @.
func TestGoldenID(t *testing.T) {
	id := life.ID{Instance: "i-7f3a91c2", Born: 1764722812345}
	goldentest.JSON(t, "id", storedLives{At: id, Maybe: id, Seen: map[life.ID]string{id: "side-a-1"}})
}

// TestGoldenIDWithoutStart: an ID without the time of the start, as older versions stored it, is the
// instance alone. An instance may hold the separator itself.
func TestGoldenIDWithoutStart(t *testing.T) {
	tests := []struct {
		name string
		id   life.ID
	}{
		{"id-without-start", life.ID{Instance: "i-7f3a91c2"}},
		{"id-with-separator", life.ID{Instance: "a@b", Born: 7}},
		{"id-not-a-number", life.ID{Instance: "i-1@x"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			goldentest.Bytes(t, test.name+".txt", []byte(test.id.String()))
			if got := life.Parse(string(goldentest.Read(t, test.name+".txt"))); got != test.id {
				t.Errorf("read %+v, want %+v", got, test.id)
			}
		})
	}
}
