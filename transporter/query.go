package transporter

import (
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"corianderroad/classifier"
	"corianderroad/encoder"
	"corianderroad/framer"
	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/querier"
)

// maxOpenQueries bounds the connections that one query opens at the same time.
const maxOpenQueries = 256

// QueryClient sends queries to other nodes, each over a connection of its own: a
// query never waits behind messages or on a connection that no longer responds.
// It is safe for concurrent use.
type QueryClient struct {
	opener  opener
	meter   Meter
	timeout time.Duration
}

// NewQueryClient returns a QueryClient that dials with dialer.
func NewQueryClient(identity messenger.Identity, key framer.Key, parameters Parameters, dialer Dialer, meter Meter) *QueryClient {
	parameters = parameters.withDefaults()
	return &QueryClient{
		opener:  newOpener(identity, key, parameters, dialer),
		meter:   meter,
		timeout: parameters.QueryTimeout,
	}
}

// Query sends a query to one node and waits for the answer, at most QueryTimeout.
// The error has code NodeUnreachable if the node does not answer in time.
func (queryClient *QueryClient) Query(ctx context.Context, node identifier.Node, address netip.AddrPort, query querier.Query) (querier.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, queryClient.timeout)
	defer cancel()
	answer, err := queryClient.exchange(ctx, peerKey{node, address}, query)
	if err != nil && classifier.CodeOf(err) == classifier.Internal {
		return querier.Answer{}, classifier.New(classifier.NodeUnreachable, "query to %q: %v", node, err)
	}
	return answer, err
}

// Reply is the result of one node's query.
type Reply struct {
	Node   identifier.Node
	Answer querier.Answer
	// Err is nil if the node answered.
	Err error
}

// QueryAll sends a query to all members at the same time and returns their
// replies in the order of members, after at most QueryTimeout in total.
func (queryClient *QueryClient) QueryAll(ctx context.Context, members []messenger.Identity, query querier.Query) []Reply {
	ctx, cancel := context.WithTimeout(ctx, queryClient.timeout)
	defer cancel()
	replies := make([]Reply, len(members))
	var group errgroup.Group
	group.SetLimit(maxOpenQueries)
	for index, member := range members {
		group.Go(func() error {
			answer, err := queryClient.Query(ctx, member.Node, member.Address, query)
			replies[index] = Reply{Node: member.Node, Answer: answer, Err: err}
			return nil
		})
	}
	_ = group.Wait()
	return replies
}

func (queryClient *QueryClient) exchange(ctx context.Context, key peerKey, query querier.Query) (querier.Answer, error) {
	body, err := encoder.MarshalQuery(query)
	if err != nil {
		return querier.Answer{}, err
	}
	connection, remote, err := queryClient.opener.open(ctx, key, framer.Queries)
	if err != nil {
		return querier.Answer{}, err
	}
	defer func() { _ = connection.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = connection.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if err := framer.Write(connection, framer.Frame{Kind: framer.Query, Body: body}); err != nil {
		return querier.Answer{}, err
	}
	frame, err := framer.Read(connection)
	if err != nil {
		return querier.Answer{}, err
	}
	if frame.Kind != framer.Answer {
		return querier.Answer{}, errors.Errorf("received a frame of kind %d instead of an answer", frame.Kind)
	}
	queryClient.meter.CountBytes(remote.Node, remote.Region, framer.Overhead+len(body), framer.Overhead+len(frame.Body))
	return encoder.UnmarshalAnswer(frame.Body)
}
