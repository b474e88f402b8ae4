package controller

import (
	"context"
	"net"
	"net/http"
)

// Decode exports decode for the fuzz target.
var Decode = decode

// SetDialer replaces how the controller connects to workers. It must be called before Run.
func (controller *Controller) SetDialer(dial func(ctx context.Context) (net.Conn, error)) {
	controller.client.Transport.(*http.Transport).DialContext = func(ctx context.Context, _, _ string) (net.Conn, error) { return dial(ctx) }
}
