package main

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
)

// relay passes on the datagrams between control hosts, and drops those of a control host that is cut off from the others.
type relay struct {
	controls map[string]bool
	// cut is the address of the control host that is cut off, nil for none.
	cut     atomic.Pointer[string]
	dropped atomic.Int64
}

// startRelay puts a relay before each control host.
func (f *fleet) startRelay() (*relay, error) {
	r := &relay{controls: map[string]bool{}}
	for _, c := range f.controls {
		r.controls[c.ip] = true
		c.peerListen = fmt.Sprintf("%s:%d", c.ip, f.relayedPort)
	}
	for _, c := range f.controls {
		front, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(c.ip), Port: f.peerPort})
		if err != nil {
			return nil, err
		}
		go r.forward(c.ip, front, &net.UDPAddr{IP: net.ParseIP(c.ip), Port: f.relayedPort})
	}
	return r, nil
}

// drops reports whether datagrams between a host and a control host are dropped.
func (r *relay) drops(from, to string) bool {
	cut := r.cut.Load()
	return cut != nil && r.controls[from] && (from == *cut) != (to == *cut)
}

// forward passes on the datagrams to a control host, and its answers, on a socket for each sender.
func (r *relay) forward(host string, front *net.UDPConn, target *net.UDPAddr) {
	var mutex sync.Mutex
	backs := map[string]*net.UDPConn{}
	buffer := make([]byte, 64<<10)
	for {
		n, from, err := front.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		if r.drops(from.IP.String(), host) {
			r.dropped.Add(1)
			continue
		}
		mutex.Lock()
		back := backs[from.String()]
		if back == nil {
			if back, err = net.DialUDP("udp", nil, target); err != nil {
				mutex.Unlock()
				continue
			}
			backs[from.String()] = back
			go func() {
				answer := make([]byte, 64<<10)
				for {
					n, err := back.Read(answer)
					if err != nil {
						return
					}
					if r.drops(from.IP.String(), host) {
						r.dropped.Add(1)
						continue
					}
					_, _ = front.WriteToUDP(answer[:n], from)
				}
			}()
		}
		mutex.Unlock()
		_, _ = back.Write(buffer[:n])
	}
}
