// Package goldentest compares what the code writes with records that an earlier version wrote, so that a rename or a
// merge of types can't change a message, a stored record or a settings document unnoticed.
//
// A golden record is a file under the testdata directory of the package whose type it is. It is written once, by
// running the test with -golden.update, and committed; later versions have to read it and write the same bytes.
//
// # Usage
//
//	func TestGoldenPoll(t *testing.T) {
//		goldentest.JSON(t, "poll", assignment.Poll{Entry: "entry-1", Sequence: 7})
//	}
//
// The value given to JSON must have every exported field set, in nested structs too; the test fails otherwise.
// Records that are not plain JSON go through Bytes.
package goldentest

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"strconv"
	"testing"
)

var update = flag.Bool("golden.update", false, "write the golden records instead of comparing with them")

// JSON checks that full and the zero value of its type are encoded as testdata/NAME.json and
// testdata/NAME-defaults.json say, and that both files survive a round trip through the type.
func JSON[T any](t *testing.T, name string, full T) {
	t.Helper()
	for _, field := range unset(reflect.ValueOf(full), "") {
		t.Errorf("%s: field %s is not set in the golden value", name, field)
	}
	var zero T
	roundTrip(t, name+".json", full)
	roundTrip(t, name+"-defaults.json", zero)
}

// Bytes checks that got is what the file testdata/NAME holds.
func Bytes(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		write(t, path, got)
	}
	if want := Read(t, name); !bytes.Equal(got, want) {
		t.Errorf("%s: wrote %s, want %s", name, got, want)
	}
}

// Read returns the content of the file testdata/NAME.
func Read(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func roundTrip[T any](t *testing.T, name string, value T) {
	t.Helper()
	Bytes(t, name, encode(t, name, value))
	var decoded T
	if err := json.Unmarshal(Read(t, name), &decoded); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	if got, want := encode(t, name, decoded), Read(t, name); !bytes.Equal(got, want) {
		t.Errorf("%s: after decoding wrote %s, want %s", name, got, want)
	}
}

func encode(t *testing.T, name string, value any) []byte {
	t.Helper()
	data, err := json.Marshal(value)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return append(data, '\n')
}

func write(t *testing.T, path string, data []byte) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, data, 0o644); err != nil {
		t.Fatal(err)
	}
}

// unset returns the paths of exported fields that hold their zero value; elements of containers are
// looked at too. Fields that JSON leaves out (tag "-") don't count.
func unset(v reflect.Value, path string) []string {
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		if v.IsNil() {
			return []string{path}
		}
		return unset(v.Elem(), path)
	case reflect.Struct:
		return unsetFields(v, path)
	case reflect.Slice, reflect.Array:
		if v.Len() == 0 {
			return []string{path}
		}
		return unset(v.Index(0), path+"[0]")
	case reflect.Map:
		if v.Len() == 0 {
			return []string{path}
		}
		entry := v.MapRange()
		entry.Next()
		return unset(entry.Value(), path+"["+strconv.Quote(entry.Key().String())+"]")
	}
	if v.IsZero() {
		return []string{path}
	}
	return nil
}

func unsetFields(v reflect.Value, path string) []string {
	var names []string
	for i := range v.NumField() {
		field := v.Type().Field(i)
		if !field.IsExported() || field.Tag.Get("json") == "-" {
			continue
		}
		if field.Type.PkgPath() == "time" && field.Type.Name() == "Time" {
			if v.Field(i).IsZero() {
				names = append(names, path+"."+field.Name)
			}
			continue
		}
		names = append(names, unset(v.Field(i), path+"."+field.Name)...)
	}
	return names
}
