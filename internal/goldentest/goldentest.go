// Package goldentest compares encoded values with golden records written by an earlier version. It
// detects when renaming or merging types changes a message, a stored record or a settings document.
//
// A golden record is a file in the testdata directory of the package that defines the type. It is
// written once, by running the test with -golden.update, and committed. Later versions must be able
// to read it and must write the same bytes.
//
// # Usage
//
//	func TestGoldenPoll(t *testing.T) {
//		goldentest.JSON(t, "poll", assignment.Poll{Entry: "entry-1", Sequence: 7})
//	}
//
// Every exported field of the value passed to JSON must be set, including those of nested structs;
// otherwise the test fails. Bytes compares records that are not plain JSON.
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

// JSON checks that the encodings of full and of the zero value of its type equal testdata/NAME.json
// and testdata/NAME-defaults.json, and that decoding and encoding each file yields the same bytes.
func JSON[T any](t *testing.T, name string, full T) {
	t.Helper()
	for _, field := range unset(reflect.ValueOf(full), "") {
		t.Errorf("%s: field %s is not set in the golden value", name, field)
	}
	var zero T
	roundTrip(t, name+".json", full)
	roundTrip(t, name+"-defaults.json", zero)
}

// Bytes checks that got equals the content of the file testdata/NAME.
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

// unset returns the paths of exported fields that have their zero value. It also checks one element
// of each container. Fields that are excluded from JSON (tag "-") are ignored.
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
