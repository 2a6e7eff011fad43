// Package hostport checks network addresses that come from outside: those that workers report, and
// those in records that other processes have written.
//
// # Usage
//
//	if err := hostport.Check("10.1.0.9:8080"); err != nil { ... }
package hostport

import (
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"unicode"
)

// maxHostBytes is the maximum length of a host name in the domain name system.
const maxHostBytes = 253

// Check returns an error unless the address is a host, a colon and a port from 1 to 65535. It
// resolves no names.
func Check(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		// The error repeats the address, which may be long.
		return errors.New("want a host and a port")
	}
	if host == "" || len(host) > maxHostBytes || strings.ContainsFunc(host, isInvalidInHost) {
		return fmt.Errorf("%.40q is not a host", host)
	}
	if number, err := strconv.ParseUint(port, 10, 16); err != nil || number == 0 {
		return fmt.Errorf("want a port from 1 to 65535, got %.20q", port)
	}
	return nil
}

// isInvalidInHost reports whether c can't occur in a host.
func isInvalidInHost(c rune) bool { return c <= ' ' || c >= unicode.MaxASCII || c == '/' }
