package acceptor

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/kataras/iris/v12"
	"github.com/pkg/errors"

	"corianderroad/classifier"
)

// Refusal is the JSON form of the answer to a request that was refused or failed.
type Refusal struct {
	Code    classifier.Code `json:"code"`
	Name    string          `json:"name"`
	Message string          `json:"message"`
	// Execution is "not-run", "ran" or "unknown".
	Execution string `json:"ran"`
	// RetryAfter is a duration such as "1.5s", empty if there is no retry delay.
	RetryAfter string `json:"retry-after,omitempty"`
}

// WriteRefusal answers a request with the code of an error.
func WriteRefusal(ctx iris.Context, err error) {
	code := classifier.CodeOf(err)
	meaning := code.Meaning()
	refusal := Refusal{Code: code, Name: meaning.Name, Message: err.Error(), Execution: classifier.ExecutionOf(err).String()}
	var coded *classifier.Error
	if errors.As(err, &coded) {
		refusal.Message = coded.Message
		if coded.RetryAfter > 0 {
			refusal.RetryAfter = coded.RetryAfter.Round(time.Millisecond).String()
		}
	}
	ctx.StatusCode(meaning.Status)
	_ = ctx.JSON(refusal)
}

func (acceptor *Acceptor) refuse(ctx iris.Context, err error) {
	acceptor.Counter.CountRefusal(classifier.CodeOf(err))
	WriteRefusal(ctx, err)
}

// BearerToken returns the token of the Authorization header, empty if there is
// none.
func BearerToken(ctx iris.Context) string {
	token, ok := strings.CutPrefix(ctx.GetHeader("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return token
}

// readBody reads the complete body. A body that ends early is refused, because the
// caller did not intend to send only a part of it.
func readBody(ctx iris.Context, limit int64) ([]byte, error) {
	request := ctx.Request()
	body, err := io.ReadAll(http.MaxBytesReader(ctx.ResponseWriter(), request.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, classifier.New(classifier.BodyTooLarge, "the body has more than %d bytes", limit)
	}
	if err != nil {
		return nil, classifier.New(classifier.BadRequest, "the body could not be read completely: %v", err)
	}
	return body, nil
}

// readJSON decodes a body and refuses unknown fields.
func readJSON(ctx iris.Context, limit int64, target any) error {
	body, err := readBody(ctx, limit)
	if err != nil {
		return err
	}
	decoder := json.NewDecoder(strings.NewReader(string(body)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return classifier.New(classifier.BadRequest, "the body is not the expected JSON: %v", err)
	}
	return nil
}
