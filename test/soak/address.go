package main

import (
	"net"
	"net/netip"
	"os"
	"sync/atomic"
)

// hostsMade counts the loopback IPs that nextIP has returned.
var hostsMade atomic.Uint32

// nextIP returns a loopback IP that no other host of this process has. A host's ports are free
// until it starts and while it restarts; on an IP of its own no other listener or connection is
// given one of them meanwhile.
func nextIP() netip.Addr {
	made := hostsMade.Add(1)
	return netip.AddrFrom4([4]byte{127, byte(1 + os.Getpid()%250), byte(1 + made/250), byte(1 + made%250)})
}

// freeAddresses fills the addresses with the IP and different free ports that the kernel chose.
func freeAddresses(ip netip.Addr, addresses ...*netip.AddrPort) error {
	for _, address := range addresses {
		listener, err := net.Listen("tcp", netip.AddrPortFrom(ip, 0).String())
		if err != nil {
			return err
		}
		// All listeners stay open until each has its port.
		defer listener.Close()
		*address = netip.MustParseAddrPort(listener.Addr().String())
	}
	return nil
}
