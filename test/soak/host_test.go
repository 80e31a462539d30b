package main

import (
	"net/netip"
	"os"
	"path/filepath"
	"syscall"
	"testing"
)

// Guards against processes that nobody ends: two faults that overlap on one host start it twice, and only the
// second is known.
func TestOverlappingFaultsStartAHostOnce(t *testing.T) {
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "eelgrasstide"), []byte("#!/bin/sh\nexec sleep 60\n"), 0o700); err != nil {
		t.Fatal(err)
	}
	h, err := newHost("h", "z", dir, dir, netip.MustParseAddrPort("127.0.0.1:1"))
	if err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if err := h.start(); err != nil {
			t.Fatal(err)
		}
	}
	<-h.signal(syscall.SIGKILL)
	if h.starts != 1 {
		t.Errorf("have %d processes after two starts, want 1", h.starts)
	}
	if err := h.start(); err != nil || h.starts != 2 {
		t.Errorf("after its end: have %d processes and %v, want a second", h.starts, err)
	}
	<-h.signal(syscall.SIGKILL)
}
