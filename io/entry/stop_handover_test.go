package entry_test

import (
	"net/http"
	"testing"
	"time"

	"clementinelock/core"
)

// TestStopWhileARequestIsHandedOver guards against a request that is withdrawn from its helper, since this host stops before it
// was sent there, and is answered as if it may have run; and against a helper that counts as broken for it.
func TestStopWhileARequestIsHandedOver(t *testing.T) {
	helper, address := startHelper(t, 1)
	cut := startCutHost(t, address)
	began := make(chan struct{})
	cut.server.HelperAddress = func(name string) string {
		close(began)
		for !cut.server.Stopping() {
			time.Sleep(time.Millisecond)
		}
		return name
	}
	c := cut.dial(t)
	c.send("POST", "/write/x", "w-1", "")
	<-began
	go cut.server.Shutdown(500 * core.Millisecond)
	response, _, err := c.readAnswer()
	if err != nil {
		t.Fatal(err)
	}
	if response.StatusCode != http.StatusServiceUnavailable || helper.runs() != 0 {
		t.Errorf("a request that was not sent got status %d and ran %d times; expected 503 and none", response.StatusCode, helper.runs())
	}
	for _, each := range cut.server.ReachDump().Helpers {
		if each.Avoided > 0 {
			t.Errorf("helper %s is avoided for %s", each.Name, each.Avoided)
		}
	}
}
