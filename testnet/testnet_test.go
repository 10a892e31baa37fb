package testnet_test

import (
	"net/netip"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"buckthornridge/testnet"
)

// Guards against a server that can't start because a connection has taken its port since
// the port was chosen.
func TestConnectionsDoNotTakeTheAddress(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	if err != nil {
		t.Skip("the range of connections' ports is not known here")
	}
	first, err := strconv.Atoi(strings.Fields(string(data))[0])
	is.NoErr(err)
	for range 200 {
		address, err := netip.ParseAddrPort(testnet.FreeAddress(t))
		is.NoErr(err)
		is.True(int(address.Port()) < first)
	}
}

// Guards against two servers of a test that are given the same address.
func TestAddressesAreGivenOnce(t *testing.T) {
	seen := map[string]bool{}
	for range 500 {
		address := testnet.FreeAddress(t)
		if seen[address] {
			t.Fatalf("%s was given twice", address)
		}
		seen[address] = true
	}
}
