// Package hold bounds the memory and the number of connections that a process
// holds for its callers together, and chooses which connection gives way.
//
// Each connection has an account of the bytes that are held for it. Where an
// account would exceed the limit of all, the accounts that hold most for longest
// without progress are evicted first, the one that asks among them. Part of the
// limit is kept for the first bytes of new accounts, so that requests under way,
// which are never evicted, can't use up what an ordinary caller needs.
package hold
