package fleet

import (
	"fmt"
	"math"
	"runtime/debug"
	"strings"
	"syscall"

	"clementinelock/core"
	"clementinelock/core/hold"
	"clementinelock/io/guard"
)

// Parts of a machine's memory and descriptors.
const (
	// defaultMemoryMegabytes applies where the memory is not known.
	defaultMemoryMegabytes = 256
	// callerMemoryShare is the part of the memory that may be held for callers. As much again may be garbage before it is
	// collected; the rest is for the state, endpoints and the program.
	callerMemoryShare = 0.375
	// softMemoryShare is the part from which on garbage is collected more often. The limit counts neither the program itself
	// nor the kernel's buffers.
	softMemoryShare = 0.75
	// callerDescriptorShare is the part of the descriptors for connections of callers. Each may need another one to an
	// endpoint, and the rest is for files, hosts and operators.
	callerDescriptorShare = 0.4
	// endpointDescriptorShare is the part for connections to endpoints, idle ones among them.
	endpointDescriptorShare = 0.4
	bytesPerMegabyte        = 1 << 20
	// directoryMemoryShare and statusMemoryShare are the parts of the memory for look-ups, and for the platform's own checks and
	// metrics each; operators have callerMemoryShare, since they have no callers beside them.
	directoryMemoryShare = 1.0 / 8
	statusMemoryShare    = 1.0 / 32
	// The same for descriptors.
	directoryDescriptorShare = 1.0 / 8
	operatorDescriptorShare  = 1.0 / 32
	statusDescriptorShare    = 1.0 / 64
	// operatorBodyBytes is more than a configuration may have; the rest of a longer body is not read.
	operatorBodyBytes = 16<<20 + 1
	// minMemoryMegabytes and minDescriptors are less than any host can run with, maxMemoryMegabytes is more than any has.
	minMemoryMegabytes = 32
	maxMemoryMegabytes = 1 << 30
	minDescriptors     = 64
	// maxLoggedText bounds what a log line has of a text that a caller chose, in bytes; thousands of lines may wait for the output.
	maxLoggedText = 256
	// heldLogInterval bounds how often a host logs that it refuses callers.
	heldLogInterval = core.Second
)

// heldBytes returns the memory that may be held for callers, in bytes.
func (s *Settings) heldBytes() int64 {
	return s.memoryShare(callerMemoryShare)
}

// memoryShare returns a part of the memory, in bytes.
func (s *Settings) memoryShare(share float64) int64 {
	megabytes := s.MemoryMegabytes
	if megabytes == 0 {
		megabytes = defaultMemoryMegabytes
	}
	return int64(megabytes * bytesPerMegabyte * share)
}

// descriptors returns the number of descriptors that the process may have, or 0 if it is not limited.
func (s *Settings) descriptors() int {
	if s.MaxDescriptors > 0 {
		return s.MaxDescriptors
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return 0
	}
	return int(limit.Cur)
}

// callerConnections returns how many connections callers may have, or 0 for no limit.
func (s *Settings) callerConnections() int {
	return int(float64(s.descriptors()) * callerDescriptorShare)
}

// endpointConnections returns how many connections to endpoints there may be, or 0 for no limit.
func (s *Settings) endpointConnections() int {
	return int(float64(s.descriptors()) * endpointDescriptorShare)
}

// guardOf returns the limits of a server that has these parts of the memory and of the descriptors.
func (s *Settings) guardOf(memory, descriptors float64) *guard.Guard {
	return &guard.Guard{MaxBytes: s.memoryShare(memory), MaxConnections: int(float64(s.descriptors()) * descriptors)}
}

// operatorGuard returns the limits of operators' calls.
func (s *Settings) operatorGuard() *guard.Guard {
	limits := s.guardOf(callerMemoryShare, operatorDescriptorShare)
	limits.MaxBodyBytes = operatorBodyBytes
	return limits
}

// directoryGuard returns the limits of look-ups.
func (s *Settings) directoryGuard() *guard.Guard {
	return s.guardOf(directoryMemoryShare, directoryDescriptorShare)
}

// statusGuard returns the limits of the platform's checks, and of metrics.
func (s *Settings) statusGuard() *guard.Guard {
	return s.guardOf(statusMemoryShare, statusDescriptorShare)
}

// limitMemory makes the collector work harder as the process comes near the memory of its machine, if that is known. A limit
// that is lower already stays.
func (s *Settings) limitMemory() {
	if s.MemoryMegabytes == 0 {
		return
	}
	limit := int64(s.MemoryMegabytes * bytesPerMegabyte * softMemoryShare)
	if limit < debug.SetMemoryLimit(-1) {
		debug.SetMemoryLimit(limit)
	}
}

// clip shortens a text for the log.
func clip(text string) string {
	if len(text) <= maxLoggedText {
		return text
	}
	return fmt.Sprintf("%s… (%d bytes)", strings.ToValidUTF8(text[:maxLoggedText], ""), len(text))
}

// heldLog logs refusals and evictions, not more often than heldLogInterval.
type heldLog struct {
	last hold.Counts
	at   core.Millis
}

// line returns the text to log for the present counts, or "" if there is nothing to log.
func (l *heldLog) line(now core.Millis, counts hold.Counts) string {
	refused, evicted := counts.Refused-l.last.Refused, counts.Evicted-l.last.Evicted
	if refused+evicted == 0 || now-l.at < heldLogInterval {
		return ""
	}
	l.last, l.at = counts, now
	return fmt.Sprintf("Closed %d connections and refused %d times to read more for want of memory or descriptors; %d connections with %d KB are left.", evicted, refused, counts.Accounts, counts.Bytes>>10)
}
