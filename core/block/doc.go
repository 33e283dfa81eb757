// Package block maps blocks of client addresses to sites.
//
// Each prefix length has one open-addressing hash table; a look-up tries the
// lengths in use, longest first. An update changes one slot; a table is
// rehashed only when it has too few free slots.
package block
