package main

import (
	"net/http"
	"net/http/httptest"
	"testing"
)

// TestCloseWhenLeaving checks that a connection that is idle when the drain begins serves one more
// request and is then closed.
func TestCloseWhenLeaving(t *testing.T) {
	draining := make(chan struct{})
	handler := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
	server := httptest.NewServer(closeWhenDraining(handler, draining))
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
		t.Error("connection closed before the drain")
	}
	close(draining)
	if !call().Close {
		t.Error("connection still open during the drain")
	}
}
