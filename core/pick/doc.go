// Package pick chooses the endpoint of each request at one entry host.
//
// Nobody keeps the endpoints' slots: each entry host chooses by its own
// requests under way, by the load that endpoints report with their answers and
// by what its requests have shown. An endpoint is chosen by what a request
// would wait for there: the queue, the way to another region, and the object's
// data, which an endpoint that handled the object lately has at hand. Objects
// have a home endpoint in each region by rendezvous hashing, so that entry
// hosts agree on it without talking and few objects move when endpoints come
// and go.
//
// The table is deterministic and needs no network: it reads no clock.
package pick
