package transporter

import (
	"context"
	"net"
	"time"

	"corianderroad/classifier"
	"corianderroad/encoder"
	"corianderroad/framer"
)

// serve answers the queries of one connection until it ends.
func (transporter *Transporter) serve(ctx context.Context, connection net.Conn, other framer.Endpoint) {
	defer func() { _ = connection.Close() }()
	select {
	case transporter.queries <- struct{}{}:
		defer func() { <-transporter.queries }()
	default:
		transporter.meter.Closed(other.Node, "too-many-queries")
		return
	}
	for {
		_ = connection.SetDeadline(time.Now().Add(transporter.parameters.QueryTimeout))
		if err := transporter.answer(ctx, connection, other); err != nil {
			return
		}
	}
}

func (transporter *Transporter) answer(ctx context.Context, connection net.Conn, other framer.Endpoint) error {
	ctx, cancel := context.WithTimeout(ctx, transporter.parameters.QueryTimeout)
	defer cancel()
	frame, err := framer.Read(connection)
	if err != nil {
		return err
	}
	if frame.Kind != framer.Query {
		return classifier.New(classifier.BadFrame, "frame of kind %d on a connection for queries", frame.Kind)
	}
	query, err := encoder.UnmarshalQuery(frame.Body)
	if err != nil {
		return err
	}
	answer, err := transporter.responder.Respond(ctx, query)
	if err != nil {
		return err
	}
	body, err := encoder.MarshalAnswer(answer)
	if err != nil {
		return err
	}
	transporter.meter.Transferred(other.Node, other.Region, framer.Overhead+len(body), framer.Overhead+len(frame.Body))
	return framer.Write(connection, framer.Frame{Kind: framer.Answer, Body: body})
}
