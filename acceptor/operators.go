package acceptor

import (
	"github.com/kataras/iris/v12"

	"corianderroad/classifier"
	"corianderroad/commander"
	"corianderroad/identifier"
)

// Done is the JSON form of a command that took effect.
type Done struct {
	Code classifier.Code `json:"code"`
	Name string          `json:"name"`
	// Offset is the position of the command's record, zero if it has none.
	Offset identifier.Offset `json:"offset,omitempty"`
}

// Publish is the JSON form of commander.Publish.
type Publish struct {
	Organisation identifier.Organisation `json:"organisation"`
	Base         identifier.Offset       `json:"base"`
	Text         string                  `json:"text"`
}

// Approve is the JSON form of commander.Approve.
type Approve struct {
	Organisation identifier.Organisation `json:"organisation"`
	Publication  identifier.Offset       `json:"publication"`
}

// Drain is the JSON form of commander.Drain.
type Drain struct {
	Node identifier.Node `json:"node"`
}

// maxCommand bounds the JSON of a command: a text of the greatest size, in
// which each byte may need an escape of two.
const maxCommand = 2*commander.MaxTextBytes + 4096

func (acceptor *Acceptor) publish(ctx iris.Context) {
	var publish Publish
	if err := readJSON(ctx, maxCommand, &publish); err != nil {
		acceptor.refuse(ctx, err)
		return
	}
	if err := acceptor.authorisePublisher(Bearer(ctx), publish); err != nil {
		acceptor.refuse(ctx, err)
		return
	}
	acceptor.finish(ctx, commander.Publish{
		Organisation: publish.Organisation, Base: publish.Base, Text: []byte(publish.Text),
	})
}

// authorisePublisher accepts a member's own operator, and a newcomer whose text
// states the digest of the token that it publishes with.
func (acceptor *Acceptor) authorisePublisher(token string, publish Publish) error {
	if !acceptor.Access.Member(publish.Organisation) {
		return acceptor.Newcomers.Matches([]byte(publish.Text), publish.Organisation, token)
	}
	return acceptor.authoriseOperator(token, publish.Organisation)
}

func (acceptor *Acceptor) authoriseOperator(token string, organisation identifier.Organisation) error {
	operator, err := acceptor.Access.Operator(token)
	if err != nil {
		return err
	}
	if operator != organisation {
		return classifier.New(classifier.Forbidden, "the token is not one of organisation %q", organisation)
	}
	return nil
}

func (acceptor *Acceptor) approve(ctx iris.Context) {
	var approve Approve
	if err := readJSON(ctx, maxCommand, &approve); err != nil {
		acceptor.refuse(ctx, err)
		return
	}
	if err := acceptor.authoriseOperator(Bearer(ctx), approve.Organisation); err != nil {
		acceptor.refuse(ctx, err)
		return
	}
	acceptor.finish(ctx, commander.Approve(approve))
}

// drain makes this node leave. Any operator may drain a node, because nodes
// belong to the deployment and not to an organisation.
func (acceptor *Acceptor) drain(ctx iris.Context) {
	var drain Drain
	if err := readJSON(ctx, maxCommand, &drain); err != nil {
		acceptor.refuse(ctx, err)
		return
	}
	if _, err := acceptor.Access.Operator(Bearer(ctx)); err != nil {
		acceptor.refuse(ctx, err)
		return
	}
	if acceptor.finish(ctx, commander.Drain(drain)) {
		acceptor.Drainer.Drain()
	}
}

// finish runs a command, answers, and reports whether it took effect.
func (acceptor *Acceptor) finish(ctx iris.Context, command commander.Command) bool {
	answer, err := acceptor.run(ctx.Request().Context(), command)
	if err != nil {
		acceptor.refuse(ctx, err)
		return false
	}
	_ = ctx.JSON(Done{Name: classifier.OK.Name(), Offset: answer.Offset})
	return true
}
