package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"sync/atomic"
)

// Ports of a process, at an IP address of its own.
const (
	internalPort = 7000 + iota
	callersPort
	readyPort
	heartbeatsPort
	// claimPort is where the soak listens for as long as the address is its own: another soak on
	// this machine may draw the same addresses.
	claimPort
)

// addressesPerNetwork is how many addresses a soak process may use.
const addressesPerNetwork = 250

// boxes counts the addresses that this process has tried.
var boxes atomic.Int64

// errAddressesTaken means that another program listens on each address of this process.
var errAddressesTaken = errors.New("no address is free for a box: another run, or what is left of one, has taken them")

// addressOf returns the n-th loopback address of this process: a network of 127.0.0.0/8 for each
// soak process, and in it one address after the other.
func addressOf(n int64) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 16+pid/addressesPerNetwork%200, pid%addressesPerNetwork, 1+n%addressesPerNetwork)
}

func at(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// claimIP returns a loopback address for a box at which no other program listens. It is claimed until
// the closer is closed.
func claimIP() (ip string, claim io.Closer, err error) {
	for range addressesPerNetwork {
		ip := addressOf(boxes.Add(1))
		if claim := claimAddress(ip); claim != nil {
			return ip, claim, nil
		}
	}
	return "", nil, errAddressesTaken
}

// claimAddress claims an address, or returns nil if another program listens there.
func claimAddress(ip string) io.Closer {
	claim, err := net.Listen("tcp", at(ip, claimPort))
	if err != nil {
		return nil
	}
	for port := internalPort; port < claimPort; port++ {
		l, err := net.Listen("tcp", at(ip, port))
		if err != nil {
			claim.Close()
			return nil
		}
		l.Close()
	}
	return claim
}
