package jsonhttp

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"yarrowgrade.example/yarrowgrade/internal/fault"
	"yarrowgrade.example/yarrowgrade/internal/goldentest"
)

func TestGoldenErrorBody(t *testing.T) {
	goldentest.JSON(t, "error-body", ErrorBody{Error: "why", Field: "shape.accelerators", RetryAfterMillis: 1000})
}

// TestGoldenWriteError compares the status, headers and body of each kind of error response with
// the golden record.
func TestGoldenWriteError(t *testing.T) {
	var out bytes.Buffer
	for _, err := range []error{
		fault.New("step", "peer", fault.BadField("name", "is empty")),
		&StatusError{Status: http.StatusConflict, Message: "was replaced"},
		&StatusError{Status: http.StatusBadRequest, Message: "is empty", Field: "name"},
		errors.New("not ready"),
	} {
		w := httptest.NewRecorder()
		WriteError(w, err)
		fmt.Fprintf(&out, "%d %v %s", w.Code, w.Header(), w.Body)
	}
	goldentest.Bytes(t, "write-error.txt", out.Bytes())
}

// TestGoldenStatusError checks that Call decodes a golden error body to a *StatusError.
func TestGoldenStatusError(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusConflict)
		_, _ = w.Write(goldentest.Read(t, "error-body.json"))
	}))
	defer server.Close()
	err := Call(t.Context(), server.Client(), "step", http.MethodGet, server.URL, "/", nil, nil)
	var status *StatusError
	want := StatusError{Status: http.StatusConflict, Message: "why", Field: "shape.accelerators"}
	if !errors.As(err, &status) || *status != want {
		t.Errorf("got %v, want %+v", err, want)
	}
}
