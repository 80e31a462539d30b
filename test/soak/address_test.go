package main

import (
	"net/netip"
	"testing"
)

// Guards against a host that cannot start because its port was given away before: no two hosts share
// an IP, and none has that of the stand-ins.
func TestHostsHaveIPsOfTheirOwn(t *testing.T) {
	seen := map[netip.Addr]bool{netip.MustParseAddr("127.0.0.1"): true}
	for range 1000 {
		ip := nextIP()
		if seen[ip] || !ip.IsLoopback() {
			t.Fatalf("have IP %s, want a loopback IP that nobody has", ip)
		}
		seen[ip] = true
	}
	var first, second netip.AddrPort
	if err := freeAddresses(nextIP(), &first, &second); err != nil || first == second || first.Port() == 0 {
		t.Errorf("have addresses %s and %s and error %v, want two that differ", first, second, err)
	}
}
