// Package feed reads the platform's list of live and leaving endpoints, which
// lags behind their real state, from a file or over HTTP.
//
// The list is JSON: {"Endpoints": [{"Endpoint": "10.0.0.1:8080", "State":
// "Leaving", "Since": 1764800000000}], "Links": [{"From": "lisboa", "To":
// "porto", "UsedBits": 1000000}]}. State is Live or Leaving; Since is when
// the endpoint entered its state, in milliseconds since the Unix epoch.
package feed
