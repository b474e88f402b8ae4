package transporter

import (
	"context"
	"net"
	"time"

	"corianderroad/classifier"
	"corianderroad/encoder"
	"corianderroad/framer"
)

// serveQueries answers the queries of one connection until it ends.
func (transporter *Transporter) serveQueries(ctx context.Context, connection net.Conn, remote framer.Endpoint) {
	defer func() { _ = connection.Close() }()
	select {
	case transporter.querySlots <- struct{}{}:
		defer func() { <-transporter.querySlots }()
	default:
		transporter.meter.CountClosed(remote.Node, "too-many-queries")
		return
	}
	for {
		_ = connection.SetDeadline(time.Now().Add(transporter.parameters.QueryTimeout))
		if err := transporter.answerQuery(ctx, connection, remote); err != nil {
			return
		}
	}
}

func (transporter *Transporter) answerQuery(ctx context.Context, connection net.Conn, remote framer.Endpoint) error {
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
	transporter.meter.CountBytes(remote.Node, remote.Region, framer.Overhead+len(body), framer.Overhead+len(frame.Body))
	return framer.Write(connection, framer.Frame{Kind: framer.Answer, Body: body})
}
