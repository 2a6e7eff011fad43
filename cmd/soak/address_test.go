package main

import (
	"errors"
	"net"
	"strings"
	"testing"
	"time"
)

// TestTakenAddresses guards against a day that can't be played since another program listens on the
// addresses that it draws: its entries ended at their start, and the day said that the system does
// not serve.
func TestTakenAddresses(t *testing.T) {
	for n, port := range []int{callersPort, claimPort, internalPort} {
		l, err := net.Listen("tcp", at(addressOf(boxes.Load()+1+int64(n)), port))
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
	}
	s := small()
	s.Length = time.Second
	report, err := playDay(t.Context(), s, 1, logsOf(t))
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range report.violations {
		t.Error(v)
	}
}

// TestNotServing: a day that does not begin says of each entry whether its process runs and what it
// answered, and how soon the store did.
func TestNotServing(t *testing.T) {
	s := small()
	c, err := newCluster(t.Context(), s, 1, logsOf(t))
	defer c.close()
	if err != nil {
		t.Fatal(err)
	}
	c.entries[0].process.Kill()
	d := &day{settings: s, cluster: c, callers: newCallers(c, nil, false, nil)}
	err = d.awaitService(t.Context(), time.Second)
	var failure *notServingError
	if !errors.As(err, &failure) {
		t.Fatalf("got %v, want a notServingError", err)
	}
	for _, want := range []string{"entry-0 (its process has ended", "entry-1 (its process runs)", "the store answered in"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("%q is not in: %v", want, err)
		}
	}
}
