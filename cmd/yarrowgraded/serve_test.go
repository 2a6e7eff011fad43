package main

import (
	"net/http"
	"net/http/httptest"
	"testing"
)

// TestCloseWhenLeaving: a connection that was idle when the process began to leave is served once more, and ends with that.
func TestCloseWhenLeaving(t *testing.T) {
	leaving := make(chan struct{})
	server := httptest.NewServer(closeWhenLeaving(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), leaving))
	defer server.Close()
	call := func() *http.Response {
		t.Helper()
		response, err := server.Client().Get(server.URL)
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		return response
	}
	if call().Close {
		t.Error("a connection ends before the process leaves")
	}
	close(leaving)
	if !call().Close {
		t.Error("a connection goes on after the process has begun to leave")
	}
}
