package host_test

import (
	"testing"

	"clementinelock/core"
	"clementinelock/core/codec"
	"clementinelock/core/host"
)

// roundTrip checks that a message is unchanged by encoding and decoding.
func roundTrip(t testing.TB, message core.Message) {
	t.Helper()
	decoded, err := host.Decode(host.Encode(message))
	if err != nil {
		t.Fatalf("message %s: %v", message.MessageName(), err)
	}
	if string(codec.Encode(decoded)) != string(codec.Encode(message)) {
		t.Fatalf("message %s changed in encoding and decoding", message.MessageName())
	}
}

// TestEveryMessageSurvivesItsEncoding checks the messages of a run in which a control host crashes.
func TestEveryMessageSurvivesItsEncoding(t *testing.T) {
	s := newDeployment(t, 3, "instituto")
	seen := map[string]int{}
	s.OnSend = func(_, _ string, message core.Message) {
		if seen[message.MessageName()]++; seen[message.MessageName()] < 50 {
			roundTrip(t, message)
		}
	}
	s.PutTree()
	startCallers(s, 4*core.Second, 5)
	s.Kill(s.Control[0])
	s.RunFor(3 * core.Second)
	s.StartHost(s.Control[0])
	s.RunFor(6 * core.Second)
	const minTypes = 25
	if len(seen) < minTypes {
		t.Fatalf("only %d message types were sent: %v", len(seen), seen)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{0x82, 0x09, 0x41, 0x80})
	f.Fuzz(func(t *testing.T, data []byte) {
		message, err := host.Decode(data)
		if err != nil {
			return
		}
		roundTrip(t, message)
	})
}
