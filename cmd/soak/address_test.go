package main

import (
	"context"
	"errors"
	"net"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
)

// TestTakenAddresses guards against a failed start when another program already listens on the
// addresses that a scenario picks. The entries would exit on start-up, and the scenario would
// report that the system does not serve.
func TestTakenAddresses(t *testing.T) {
	for n, port := range []int{callersPort, claimPort, internalPort} {
		l, err := net.Listen("tcp", hostPort(addressOf(addressesTried.Load()+1+int64(n)), port))
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
	}
	s := shortSettings()
	s.Length = time.Second
	report, err := runScenario(t.Context(), s, 1, logDir(t))
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range report.violations {
		t.Error(v)
	}
}

// TestNotServing checks the error of a system that does not start to serve: it reports for each
// entry whether its process runs and what it answered, and the response time of the store.
func TestNotServing(t *testing.T) {
	s := shortSettings()
	c, err := newCluster(t.Context(), s, 1, logDir(t))
	defer c.close()
	if err != nil {
		t.Fatal(err)
	}
	c.entries[0].process.Kill()
	sc := &scenario{settings: s, cluster: c, callers: newCallers(c, nil, false, nil)}
	err = sc.awaitService(t.Context(), time.Second)
	var failure *notServingError
	if !errors.As(err, &failure) {
		t.Fatalf("got %v, want a notServingError", err)
	}
	for _, want := range []string{
		"entry-0 (its process has ended", "entry-1 (its process runs)", "the store answered in",
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("%q is not in: %v", want, err)
		}
	}
}

// TestClaimedPortsAreFree checks that the ports of a claimed address can be listened on although
// other processes are being started.
//
// It guards against entries that end at their start because their address is in use: a process that
// was just starting had inherited the listeners of the claim.
func TestClaimedPortsAreFree(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	var starts conc.WaitGroup
	defer starts.Wait()
	defer cancel()
	for range 4 {
		starts.Go(func() {
			for ctx.Err() == nil {
				_ = exec.Command("true").Run()
			}
		})
	}
	for range 200 {
		ip, claim, err := claimIP()
		if err != nil {
			t.Fatal(err)
		}
		if err := listenOnce(hostPort(ip, internalPort)); err != nil {
			t.Errorf("a claimed address is in use: %v", err)
		}
		claim.Close()
	}
}

// listenOnce listens on an address for a moment, while no process is being started.
func listenOnce(address string) error {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	return l.Close()
}
