package fleet_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"clementinelock/core"
	"clementinelock/core/codec"
	"clementinelock/core/quorum"
	"clementinelock/io/certs"
	"clementinelock/io/disk"
	"clementinelock/io/fleet"
	"clementinelock/io/link"
	"clementinelock/io/logs"
)

// noPlatform serves nothing to operators and callers.
type noPlatform struct {
	fleet.Platform
}

func (noPlatform) OperatorHandler(fleet.Operator) http.Handler {
	return http.NotFoundHandler()
}

// fencingLeader is the network of a leader that sends a control host records and then fences it.
func fencingLeader(ctx context.Context, t *testing.T, self, address string, port int) {
	keys, err := certs.NewUnverified(self)
	if err != nil {
		t.Fatal(err)
	}
	leader := &link.Network{
		Self: self, Address: address, Credentials: keys, FromOwnAddress: true, ReuseIncoming: true,
		AddressOf: func(name string) string { return net.JoinHostPort(name, fmt.Sprint(port)) },
		// A message that is not delivered is sent again, and the test may be over by then.
		OnError: func(string, error) {},
	}
	told := false
	leader.Receive = func(from string, message core.Message) {
		hello, ok := message.(*quorum.Hello)
		if !ok {
			return
		}
		header := quorum.Header{Term: 1, Incarnation: 9, ToIncarnation: hello.Incarnation}
		// A message may be lost, so that each Hello is answered; the records come once.
		defer leader.Send(from, &quorum.HelloResponse{Header: header, Boot: hello.Boot, Fenced: true})
		if told {
			return
		}
		told = true
		// As many records as a snapshot takes, and bytes that the disk is busy with for longer than an interval of ticks.
		data := codec.Encode(struct {
			Type    uint8
			Command []byte
		}{0, make([]byte, 1<<10)})
		for batch := range uint64(14) {
			var records []core.Record
			for i := range uint64(100) {
				records = append(records, core.Record{Index: batch*100 + i + 1, Term: 1, Data: data})
			}
			term := min(batch, 1)
			leader.Send(from, &quorum.Append{Header: header, PrevIndex: batch * 100, PrevTerm: term, Records: records, Commit: batch * 100})
		}
	}
	if err := leader.Listen(ctx); err != nil {
		t.Fatal(err)
	}
	go func() { _ = leader.Run(ctx) }()
}

// freePort returns a UDP port that is free at the address.
func freePort(t *testing.T, host string) int {
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(host)})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = socket.Close() }()
	return socket.LocalAddr().(*net.UDPAddr).Port
}

// TestFencedHostLeavesAnEmptyFolder guards against a fenced control host that can't start again: while its disk is still busy with
// the records before it was fenced, its files were moved away, and the rest was written into the emptied folder.
func TestFencedHostLeavesAnEmptyFolder(t *testing.T) {
	for try := range 6 {
		t.Run(fmt.Sprint(try), func(t *testing.T) {
			t.Parallel()
			self, other := fmt.Sprintf("127.48.%d.1", try), fmt.Sprintf("127.48.%d.2", try)
			port := freePort(t, self)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			fencingLeader(ctx, t, other, net.JoinHostPort(other, fmt.Sprint(port)), port)
			folder := t.TempDir()
			settings := fleet.Settings{
				Host: self, Name: "control", Region: "r", Zone: "a", PeerPort: port, Seeds: []string{other}, DataFolder: folder,
				Operators: net.JoinHostPort(self, "0"), StopMillis: 1000, Regions: map[string]string{"a": "r"},
			}
			ended := make(chan error, 1)
			go func() { ended <- fleet.NewControl(settings, noPlatform{}, logs.New(io.Discard, self, "info")).Run(ctx) }()
			select {
			case err := <-ended:
				if err == nil || !strings.Contains(err.Error(), "older") {
					t.Fatalf("the host ended with %v; expected the error of a fenced host", err)
				}
			case <-time.After(10 * time.Second):
				t.Fatal("the fenced host did not end within 10 s")
			}
			time.Sleep(500 * time.Millisecond)
			checkFencedFolder(t, folder)
		})
	}
}

// checkFencedFolder checks that a data folder holds one subfolder with the former files, and is empty otherwise.
func checkFencedFolder(t *testing.T, path string) {
	entries, err := os.ReadDir(path)
	if err != nil {
		t.Fatal(err)
	}
	moved := 0
	for _, entry := range entries {
		switch {
		case strings.HasPrefix(entry.Name(), "Fenced-"):
			moved++
			if _, err := os.Stat(filepath.Join(path, entry.Name(), "Identity")); err != nil {
				t.Errorf("%s does not hold the former files: %v", entry.Name(), err)
			}
		case entry.Name() != "Lock":
			t.Errorf("the emptied data folder holds %s", entry.Name())
		}
	}
	if moved != 1 {
		t.Errorf("the files were moved to %d subfolders, expected 1", moved)
	}
	next := &disk.Folder{Path: path}
	if err := next.Open(); err != nil {
		t.Fatal(err)
	}
	stored, err := next.Load()
	if err != nil {
		t.Fatalf("the host can't start again: %v", err)
	}
	if len(stored.Records) > 0 || stored.Snapshot.Index > 0 || stored.Vote.Boot > 0 {
		t.Errorf("the host starts again with %d records, a snapshot at %d and start %d", len(stored.Records), stored.Snapshot.Index, stored.Vote.Boot)
	}
	if err := next.Close(); err != nil {
		t.Error(err)
	}
}
