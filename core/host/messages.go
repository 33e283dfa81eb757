package host

import (
	"fmt"
	"reflect"

	"clementinelock/core"
	"clementinelock/core/codec"
	"clementinelock/core/crash"
	"clementinelock/core/ctrl"
	"clementinelock/core/fleet"
	"clementinelock/core/grant"
	"clementinelock/core/lease"
	"clementinelock/core/ledger"
	"clementinelock/core/member"
	"clementinelock/core/quorum"
	"clementinelock/core/quota"
	"clementinelock/core/relay"
	"clementinelock/core/slots"
)

// part identifies the component that handles a message.
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
	foundingPart
	fleetPart
	crashPart
)

// messageType is one row of the message table.
type messageType struct {
	part   part
	decode func([]byte) (core.Message, error)
	name   string
}

// newMessageType returns the table row of message type T, whose messages go to the given part.
func newMessageType[T any, P interface {
	*T
	core.Message
}](to part) messageType {
	var zero T
	return messageType{
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

// messageTypes is the table of all messages between processes; the index of a row is its number on the wire.
var messageTypes = []messageType{
	newMessageType[quorum.VoteRequest](quorumPart),
	newMessageType[quorum.VoteResponse](quorumPart),
	newMessageType[quorum.Append](quorumPart),
	newMessageType[quorum.AppendResponse](quorumPart),
	newMessageType[quorum.InstallSnapshot](quorumPart),
	newMessageType[quorum.InstallSnapshotResponse](quorumPart),
	newMessageType[quorum.Hello](quorumPart),
	newMessageType[quorum.HelloResponse](quorumPart),
	newMessageType[quorum.TimeoutNow](quorumPart),
	newMessageType[member.Heartbeat](memberPart),
	newMessageType[relay.Sync](relayPart),
	newMessageType[relay.Update](relayPart),
	newMessageType[lease.Request](leasePart),
	newMessageType[lease.Response](leasePart),
	newMessageType[slots.Ask](slotsPart),
	newMessageType[slots.Grant](slotsPart),
	newMessageType[slots.Refused](slotsPart),
	newMessageType[slots.Withdraw](slotsPart),
	newMessageType[slots.Done](slotsPart),
	newMessageType[slots.DoneAnswer](slotsPart),
	newMessageType[slots.Who](slotsPart),
	newMessageType[slots.Held](slotsPart),
	newMessageType[slots.Handover](slotsPart),
	newMessageType[ledger.Reserve](ledgerReplicaPart),
	newMessageType[ledger.ReserveAnswer](ledgerClientPart),
	newMessageType[ledger.Settle](ledgerReplicaPart),
	newMessageType[ledger.SettleAnswer](ledgerClientPart),
	newMessageType[ledger.Pull](ledgerReplicaPart),
	newMessageType[ledger.PullAnswer](ledgerReplicaPart),
	newMessageType[grant.Ask](grantPart),
	newMessageType[grant.Answer](grantPart),
	newMessageType[ctrl.Request](ctrlPart),
	newMessageType[ctrl.Response](operatorPart),
	newMessageType[ctrl.FoundingRequest](ctrlPart),
	newMessageType[ctrl.FoundingResponse](foundingPart),
	newMessageType[fleet.Report](fleetPart),
	newMessageType[fleet.Update](fleetPart),
	newMessageType[fleet.Share](fleetPart),
	newMessageType[fleet.Order](fleetPart),
	newMessageType[fleet.OrderAnswer](fleetPart),
	newMessageType[crash.News](crashPart),
	newMessageType[quota.Draw](fleetPart),
	newMessageType[quota.Grant](fleetPart),
	newMessageType[quota.Borrow](fleetPart),
	newMessageType[quota.Lend](fleetPart),
	newMessageType[fleet.Ping](fleetPart),
}

var numberOf = indexMessageTypes()

func indexMessageTypes() map[string]int {
	byName := make(map[string]int, len(messageTypes))
	for number, k := range messageTypes {
		if _, twice := byName[k.name]; twice {
			panic("message type " + k.name + " is listed twice in the message table")
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

// Encode encodes a message for the wire; it panics on a type that the message table does not list.
func Encode(message core.Message) []byte {
	number, ok := numberOf[message.MessageName()]
	if !ok {
		panic("message type " + message.MessageName() + " is not in the message table")
	}
	return codec.Encode(Envelope{number, codec.Encode(reflect.ValueOf(message).Interface())})
}

// Decode decodes a message from the wire; it returns an error if the bytes are no message of the table.
func Decode(data []byte) (core.Message, error) {
	envelope, err := codec.Decode[Envelope](data)
	if err != nil {
		return nil, err
	}
	if envelope.Number < 0 || envelope.Number >= len(messageTypes) {
		return nil, fmt.Errorf("message number %d does not exist", envelope.Number)
	}
	return messageTypes[envelope.Number].decode(envelope.Body)
}
