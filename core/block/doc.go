// Package block maps blocks of client addresses to sites.
//
// Blocks of one prefix length stand in one open-addressing table; a look-up
// tries the lengths in use, longest first. An update touches one slot, so
// the table is never rebuilt for it.
package block
