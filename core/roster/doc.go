// Package roster knows the endpoints of all services: those that the
// platform's list names, how far each may be used, and what evacuations and
// cold starts ask for.
//
// Control hosts read the list and pass it on as readings; entry hosts keep the
// newest reading of each writer. A reading is whole, so that a lost message
// needs no repair. The table is deterministic: it reads no clock and no file.
package roster
