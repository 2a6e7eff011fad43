package fault

import (
	"errors"
	"testing"

	"yarrowgrade.example/yarrowgrade/internal/goldentest"
)

// TestGoldenField compares the field names reported for invalid inputs with the golden record. They
// are part of the response to every invalid request.
func TestGoldenField(t *testing.T) {
	type inner struct {
		Count int `json:"count"`
	}
	type outer struct {
		Inner inner `json:"inner"`
	}
	names := make(map[string]string)
	for _, text := range []string{
		`{"inner":{"count":"one"}}`, `{"inner":{"cound":1}}`, `{"other":1}`, `{`, `{} {}`, `[]`, `{"":1}`,
	} {
		var out outer
		var field *Field
		if err := Decode([]byte(text), &out); !errors.As(err, &field) {
			t.Fatalf("%s: %v, want a *Field", text, err)
		}
		names[text] = field.Name
	}
	goldentest.JSON(t, "fields", names)
}
