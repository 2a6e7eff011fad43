package fault

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strings"
)

// Decode reads exactly one JSON value from data into out. Unknown fields, wrong types and trailing
// bytes are errors of type *Field.
func Decode(data []byte, out any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(out); err != nil {
		return fieldOf(err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return BadField("body", "more than one JSON value")
	}
	return nil
}

// fieldOf turns an error of encoding/json into a *Field.
func fieldOf(err error) error {
	var field *Field
	if errors.As(err, &field) {
		return field
	}
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		name := wrongType.Field
		if name == "" {
			name = "body"
		}
		return BadField(name, "want %s, got a JSON %s at byte %d", wrongType.Type, wrongType.Value, wrongType.Offset)
	}
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return BadField("body", "not JSON at byte %d: %v", syntax.Offset, syntax)
	}
	// encoding/json has no type for this error, only its text.
	if name, found := strings.CutPrefix(err.Error(), "json: unknown field "); found {
		return unknownField(strings.Trim(name, `"`))
	}
	return BadField("body", "%v", err)
}

// unknownField names the field, or the body if the field's name is empty.
func unknownField(name string) error {
	if name == "" {
		return BadField("body", "has a field without a name")
	}
	return BadField(name, "unknown field")
}
