package fault

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strings"
)

// Decode decodes data, which must hold exactly one JSON value, into out. Unknown fields, wrong
// types and trailing bytes are reported as errors of type *Field.
func Decode(data []byte, out any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(out); err != nil {
		return toFieldError(err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return BadField("body", "more than one JSON value")
	}
	return nil
}

// toFieldError converts an error of encoding/json to a *Field.
func toFieldError(err error) error {
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
		return BadField("body", "invalid JSON at byte %d: %v", syntax.Offset, syntax)
	}
	// encoding/json has no error type for unknown fields, so the message is parsed.
	if name, found := strings.CutPrefix(err.Error(), "json: unknown field "); found {
		return unknownFieldError(strings.Trim(name, `"`))
	}
	return BadField("body", "%v", err)
}

// unknownFieldError returns the error for an unknown field. It reports the body as invalid if the
// field has an empty name.
func unknownFieldError(name string) error {
	if name == "" {
		return BadField("body", "has a field with an empty name")
	}
	return BadField(name, "unknown field")
}
