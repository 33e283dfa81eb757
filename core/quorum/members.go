package quorum

import (
	"slices"

	"clementinelock/core/codec"
)

// Member is one replica of the group; a learner has Voter false.
type Member struct {
	Name        string
	Incarnation uint64
	Voter       bool
}

// Members is the membership of the group as one record of the log sets it.
type Members []Member

// find returns the host's voter, or else its learner.
func (m Members) find(name string) (Member, bool) {
	i := slices.IndexFunc(m, func(each Member) bool { return each.Name == name && each.Voter })
	if i < 0 {
		i = slices.IndexFunc(m, func(each Member) bool { return each.Name == name })
	}
	if i < 0 {
		return Member{}, false
	}
	return m[i], true
}

func (m Members) findIncarnation(name string, incarnation uint64) (Member, bool) {
	for _, each := range m {
		if each.Name == name && each.Incarnation == incarnation {
			return each, true
		}
	}
	return Member{}, false
}

func (m Members) voters() Members {
	var out Members
	for _, each := range m {
		if each.Voter {
			out = append(out, each)
		}
	}
	return out
}

func (m Members) majority() int {
	return len(m.voters())/2 + 1
}

// without returns the members except the one with that name and incarnation.
func (m Members) without(name string, incarnation uint64) Members {
	return slices.DeleteFunc(slices.Clone(m), func(each Member) bool {
		return each.Name == name && each.Incarnation == incarnation
	})
}

// promote makes a learner a voter and drops its host's former incarnation in the same change. The former one can't
// vote any more, since its host now runs the new one.
func (m Members) promote(name string, incarnation uint64) Members {
	var out Members
	for _, each := range m {
		if each.Name != name {
			out = append(out, each)
		}
	}
	return append(out, Member{Name: name, Incarnation: incarnation, Voter: true})
}

// Types of log entries.
const (
	entryNoOp uint8 = iota
	entryCommand
	entryMembers
	entryBoot
)

// entry is the decoded content of a log record; beside Type only the fields for that type are set.
type entry struct {
	Type    uint8
	Command []byte
	Members Members
	// Size is the number of voters that the group is meant to have; 0 in records of older builds, which means all voters.
	Size int `cbor:",omitempty"`
	Boot bootRecord
}

// bootRecord records a start of a replica, so that an older copy of its disk is detected later.
type bootRecord struct {
	Name        string
	Incarnation uint64
	Boot        uint64
	Nonce       uint64
}

func (e entry) encode() []byte {
	return codec.Encode(e)
}

func decodeEntry(data []byte) entry {
	e, err := codec.Decode[entry](data)
	if err != nil {
		panic("invariant broken: a record of the log can't be decoded: " + err.Error())
	}
	return e
}

// groupState is the content of a snapshot: the membership and its size, the boot records and the state machine's own bytes.
type groupState struct {
	Members Members
	Size    int `cbor:",omitempty"`
	Boots   map[string]bootRecord
	State   []byte
}
