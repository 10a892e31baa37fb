// Package testnet gives tests addresses on loopback for servers that they start by their
// settings, and a network in memory whose paths they cut.
package testnet

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
)

// Ports for servers. They are below those that the kernel gives to connections
// (ip_local_port_range), so that no connection of another process takes one between the
// check and the server's start.
const (
	minPort = 12_000
	maxPort = 32_000
)

// given holds the addresses that FreeAddress has returned: until its server starts, an
// address is free and would be chosen again.
var given sync.Map

// FreeAddress returns a loopback address, host:port, that was free when it was checked. It
// returns each address once.
func FreeAddress(t testing.TB) string {
	t.Helper()
	for range maxPort - minPort {
		address := fmt.Sprintf("127.0.0.1:%d", minPort+rand.IntN(maxPort-minPort))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue // in use
		}
		if err := listener.Close(); err != nil {
			t.Fatal(err)
		}
		if _, again := given.LoadOrStore(address, true); again {
			continue
		}
		return address
	}
	t.Fatal("testnet: no free port")
	return ""
}
