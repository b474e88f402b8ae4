package acceptor

import (
	"github.com/kataras/iris/v12"

	"corianderroad/classifier"
	"corianderroad/commander"
	"corianderroad/identifier"
)

// CommandResult is the JSON form of the answer to a successful command.
type CommandResult struct {
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

// maxCommandBytes bounds the JSON of a command: a text of the maximum size, in which
// each byte may be escaped as two.
const maxCommandBytes = 2*commander.MaxTextBytes + 4096

func (acceptor *Acceptor) handlePublish(ctx iris.Context) {
	var publish Publish
	if err := readJSON(ctx, maxCommandBytes, &publish); err != nil {
		acceptor.refuse(ctx, err)
		return
	}
	if err := acceptor.authorisePublisher(BearerToken(ctx), publish); err != nil {
		acceptor.refuse(ctx, err)
		return
	}
	acceptor.executeAndAnswer(ctx, commander.Publish{
		Organisation: publish.Organisation, Base: publish.Base, Text: []byte(publish.Text),
	})
}

// authorisePublisher accepts a member's own operator. For an organisation that is not
// a member yet, it accepts a token whose digest is in the published text.
func (acceptor *Acceptor) authorisePublisher(token string, publish Publish) error {
	if !acceptor.Access.IsMember(publish.Organisation) {
		return acceptor.PublicationVerifier.Verify([]byte(publish.Text), publish.Organisation, token)
	}
	return acceptor.authoriseOperator(token, publish.Organisation)
}

func (acceptor *Acceptor) authoriseOperator(token string, organisation identifier.Organisation) error {
	operator, err := acceptor.Access.Operator(token)
	if err != nil {
		return err
	}
	if operator != organisation {
		return classifier.New(classifier.Forbidden, "the token does not belong to organisation %q", organisation)
	}
	return nil
}

func (acceptor *Acceptor) handleApprove(ctx iris.Context) {
	var approve Approve
	if err := readJSON(ctx, maxCommandBytes, &approve); err != nil {
		acceptor.refuse(ctx, err)
		return
	}
	if err := acceptor.authoriseOperator(BearerToken(ctx), approve.Organisation); err != nil {
		acceptor.refuse(ctx, err)
		return
	}
	acceptor.executeAndAnswer(ctx, commander.Approve(approve))
}

// handleDrain starts the graceful stop of this node. Any operator may drain a node,
// because nodes belong to the deployment and not to an organisation.
func (acceptor *Acceptor) handleDrain(ctx iris.Context) {
	var drain Drain
	if err := readJSON(ctx, maxCommandBytes, &drain); err != nil {
		acceptor.refuse(ctx, err)
		return
	}
	if _, err := acceptor.Access.Operator(BearerToken(ctx)); err != nil {
		acceptor.refuse(ctx, err)
		return
	}
	if acceptor.executeAndAnswer(ctx, commander.Drain(drain)) {
		acceptor.Drainer.Drain()
	}
}

// executeAndAnswer executes a command, answers the request and reports success.
func (acceptor *Acceptor) executeAndAnswer(ctx iris.Context, command commander.Command) bool {
	answer, err := acceptor.execute(ctx.Request().Context(), command)
	if err != nil {
		acceptor.refuse(ctx, err)
		return false
	}
	_ = ctx.JSON(CommandResult{Name: classifier.OK.Name(), Offset: answer.Offset})
	return true
}
