package quota

import "clementinelock/core"

// Draw goes from an entry host to a pool and asks for tokens of a customer.
type Draw struct {
	Customer string `cbor:"1,keyasint"`
	// Number identifies the draw among those of the sender for the customer; 0 means that no answer is expected.
	Number uint64 `cbor:"2,keyasint,omitempty"`
	// Need is the number of requests that wait, Extra the number of tokens asked for in advance.
	Need  int `cbor:"3,keyasint,omitempty"`
	Extra int `cbor:"4,keyasint,omitempty"`
	// Returned is the number of tokens given back, whose requests have not run.
	Returned int `cbor:"5,keyasint,omitempty"`
	// Version is that of the routes in force at the sender; a pool with older ones doesn't answer for it.
	Version uint64 `cbor:"6,keyasint,omitempty"`
}

// Grant is a pool's answer to a Draw.
type Grant struct {
	Customer string `cbor:"1,keyasint"`
	Number   uint64 `cbor:"2,keyasint"`
	Count    int    `cbor:"3,keyasint,omitempty"`
	// Short is set if the pool has no more tokens; Wait is the time until it expects one.
	Short bool        `cbor:"4,keyasint,omitempty"`
	Wait  core.Millis `cbor:"5,keyasint,omitempty"`
	// Behind is set if the pool holds older routes than the sender of the draw.
	Behind bool `cbor:"6,keyasint,omitempty"`
}

// Borrow goes from a pool that has run short to another one.
type Borrow struct {
	Customer string `cbor:"1,keyasint"`
	Number   uint64 `cbor:"2,keyasint"`
	Want     int    `cbor:"3,keyasint"`
}

// Lend is the answer to a Borrow; the lender no longer has the tokens. Level is the number that it has left.
type Lend struct {
	Customer string `cbor:"1,keyasint"`
	Number   uint64 `cbor:"2,keyasint"`
	Count    int    `cbor:"3,keyasint,omitempty"`
	Level    int    `cbor:"4,keyasint,omitempty"`
}

// MessageName returns the name that the message is listed by.
func (Draw) MessageName() string { return "QuotaDraw" }

// MessageName returns the name that the message is listed by.
func (Grant) MessageName() string { return "QuotaGrant" }

// MessageName returns the name that the message is listed by.
func (Borrow) MessageName() string { return "QuotaBorrow" }

// MessageName returns the name that the message is listed by.
func (Lend) MessageName() string { return "QuotaLend" }
