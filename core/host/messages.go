package host

import (
	"fmt"
	"reflect"

	"clementinelock/core"
	"clementinelock/core/codec"
	"clementinelock/core/ctrl"
	"clementinelock/core/fleet"
	"clementinelock/core/grant"
	"clementinelock/core/lease"
	"clementinelock/core/ledger"
	"clementinelock/core/member"
	"clementinelock/core/quorum"
	"clementinelock/core/relay"
	"clementinelock/core/slots"
)

// part names the component that takes a message.
type part int

const (
	quorumPart part = iota
	memberPart
	relayPart
	leasePart
	slotsPart
	ledgerReplicaPart
	ledgerClientPart
	grantPart
	ctrlPart
	operatorPart
	foundPart
	fleetPart
)

// kind is one row of the message table.
type kind struct {
	part   part
	decode func([]byte) (core.Message, error)
	name   string
}

// of makes the row of a message type.
func of[T any, P interface {
	*T
	core.Message
}](to part) kind {
	var zero T
	return kind{
		part: to,
		name: P(&zero).MessageName(),
		decode: func(data []byte) (core.Message, error) {
			value, err := codec.Decode[T](data)
			if err != nil {
				return nil, err
			}
			return P(&value), nil
		},
	}
}

// kinds is the table of all messages between processes; a row's place is its number on the wire.
var kinds = []kind{
	of[quorum.VoteAsk](quorumPart),
	of[quorum.VoteAnswer](quorumPart),
	of[quorum.Append](quorumPart),
	of[quorum.AppendAnswer](quorumPart),
	of[quorum.Install](quorumPart),
	of[quorum.InstallAnswer](quorumPart),
	of[quorum.Hello](quorumPart),
	of[quorum.HelloAnswer](quorumPart),
	of[quorum.TimeoutNow](quorumPart),
	of[member.Heartbeat](memberPart),
	of[relay.Sync](relayPart),
	of[relay.Update](relayPart),
	of[lease.Ask](leasePart),
	of[lease.Answer](leasePart),
	of[slots.Ask](slotsPart),
	of[slots.Grant](slotsPart),
	of[slots.Refused](slotsPart),
	of[slots.Withdraw](slotsPart),
	of[slots.Done](slotsPart),
	of[slots.DoneAnswer](slotsPart),
	of[slots.Who](slotsPart),
	of[slots.Held](slotsPart),
	of[slots.Handover](slotsPart),
	of[ledger.Reserve](ledgerReplicaPart),
	of[ledger.ReserveAnswer](ledgerClientPart),
	of[ledger.Settle](ledgerReplicaPart),
	of[ledger.SettleAnswer](ledgerClientPart),
	of[ledger.Pull](ledgerReplicaPart),
	of[ledger.PullAnswer](ledgerReplicaPart),
	of[grant.Want](grantPart),
	of[grant.Give](grantPart),
	of[ctrl.Request](ctrlPart),
	of[ctrl.Response](operatorPart),
	of[ctrl.FoundingRequest](ctrlPart),
	of[ctrl.FoundingResponse](foundPart),
	of[fleet.Report](fleetPart),
	of[fleet.Update](fleetPart),
	of[fleet.Share](fleetPart),
	of[fleet.Order](fleetPart),
	of[fleet.OrderAnswer](fleetPart),
}

var numberOf = indexKinds()

func indexKinds() map[string]int {
	byName := make(map[string]int, len(kinds))
	for number, k := range kinds {
		if _, twice := byName[k.name]; twice {
			panic("message " + k.name + " stands twice in the table")
		}
		byName[k.name] = number
	}
	return byName
}

// Envelope is a message on the wire.
type Envelope struct {
	Number int
	Body   []byte
}

// Encode writes a message for the wire.
func Encode(message core.Message) []byte {
	number, ok := numberOf[message.MessageName()]
	if !ok {
		panic("message " + message.MessageName() + " is not in the table")
	}
	return codec.Encode(Envelope{number, codec.Encode(reflect.ValueOf(message).Interface())})
}

// Decode reads a message from the wire; it errs on bytes that are no message of the table.
func Decode(data []byte) (core.Message, error) {
	envelope, err := codec.Decode[Envelope](data)
	if err != nil {
		return nil, err
	}
	if envelope.Number < 0 || envelope.Number >= len(kinds) {
		return nil, fmt.Errorf("message number %d does not exist", envelope.Number)
	}
	return kinds[envelope.Number].decode(envelope.Body)
}
