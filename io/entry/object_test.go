package entry_test

import (
	"fmt"
	"strings"
	"testing"
)

// TestLongObjectNames guards against memory that callers choose: the name of an object is kept for each endpoint, and may be as long
// as a header. A long one is kept as a hash, and still leads to the same endpoint.
func TestLongObjectNames(t *testing.T) {
	h := startHost(t, 4)
	long := strings.Repeat("x", 3000)
	endpoints := map[string]string{}
	for i, object := range []string{"short", long + "a", long + "b", long + "a", long + "b"} {
		c, id := h.dial(t), fmt.Sprint("r", i)
		c.send("GET", "/read/", id, "", "Cookie: object="+object)
		c.expect(id, 200, "GET /read/ ")
		record := h.record(t, id)
		if len(record.Object) > 64 || object == "short" && record.Object != object {
			t.Errorf("an object is kept as %d bytes, %.20q", len(record.Object), record.Object)
		}
		if before, known := endpoints[object]; known && before != record.Object {
			t.Errorf("one object is known as %q and %q", before, record.Object)
		}
		endpoints[object] = record.Object
	}
	if endpoints[long+"a"] == endpoints[long+"b"] {
		t.Error("two objects have one name")
	}
}
