// Package pick chooses the endpoint of each request at one entry host.
//
// No component assigns the endpoints' slots: each entry host chooses by its own requests in flight, by the
// load that endpoints report with their answers, and by the outcomes of its requests. It chooses the endpoint
// with the shortest expected delay, which consists of the queue, the network delay to another region, and the
// fetch of the object's data, which an endpoint that handled the object lately has at hand. Rendezvous hashing
// gives each object preferred endpoints in each region, so that entry hosts agree on them without
// communication and few objects move when endpoints come and go.
//
// The table is deterministic: it uses no network and reads no clock.
package pick
