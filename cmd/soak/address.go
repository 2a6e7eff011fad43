package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"sync/atomic"
	"syscall"
)

// Ports of a process. Each process has its own loopback IP address.
const (
	internalPort = 7000 + iota
	callersPort
	readyPort
	heartbeatsPort
	// claimPort is the port on which the soak listens to reserve the address: another soak on the
	// same machine may generate the same addresses.
	claimPort
)

// addressesPerNetwork is the number of addresses that a soak process may use.
const addressesPerNetwork = 250

// addressesTried counts the addresses that this process has tried.
var addressesTried atomic.Int64

// errAddressesTaken means that other programs listen on all addresses of this process.
var errAddressesTaken = errors.New(
	"no free loopback address for a box: another soak, or processes left over from one, use them all")

// addressOf returns the n-th loopback address of this process. Each soak process uses its own
// network of 127.0.0.0/8 and assigns the addresses in it in order.
func addressOf(n int64) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 16+pid/addressesPerNetwork%200, pid%addressesPerNetwork, 1+n%addressesPerNetwork)
}

func hostPort(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// claimIP returns a loopback address for a box on which no other program listens. The address is
// reserved until claim is closed.
func claimIP() (ip string, claim io.Closer, err error) {
	for range addressesPerNetwork {
		ip := addressOf(addressesTried.Add(1))
		if claim := claimAddress(ip); claim != nil {
			return ip, claim, nil
		}
	}
	return "", nil, errAddressesTaken
}

// claimAddress reserves an address. It returns nil if another program listens on one of its ports.
//
// It holds ForkLock while the ports are tried: a process that is being started would inherit the
// open listeners until it executes its program, and the ports would be in use for as long.
func claimAddress(ip string) io.Closer {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	claim, err := net.Listen("tcp", hostPort(ip, claimPort))
	if err != nil {
		return nil
	}
	for port := internalPort; port < claimPort; port++ {
		l, err := net.Listen("tcp", hostPort(ip, port))
		if err != nil {
			claim.Close()
			return nil
		}
		l.Close()
	}
	return claim
}
