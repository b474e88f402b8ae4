package hostileclients_test

import (
	"encoding/binary"
	"net"
	"net/netip"
	"syscall"
	"testing"

	"github.com/frankban/quicktest"
	"golang.org/x/sys/unix"
)

// Sizes and positions in the messages of the kernel's socket diagnostics (linux/inet_diag.h).
const (
	diagRequestBytes = 56
	diagMessageBytes = 72
	attributeHeader  = 4
	// diagMemory is the attribute with the memory of a socket. An extension is requested by the bit
	// below its number.
	diagMemory = 7
	allStates  = 0xffffffff
	// Positions in a message.
	sourcePort, sourceAddress = 4, 8
	// Values of diagMemory: allocated for received data, reserved and not used, queued for
	// sending, options and backlog.
	receivedValue, reservedValue, queuedValue, optionsValue, backlogValue = 0, 4, 5, 6, 7
	memoryValues                                                          = 9
	netlinkBufferBytes                                                    = 64 << 10
)

// socketMemory returns the bytes that the kernel has allocated for the buffers of the sockets of
// some local addresses, with its own overhead. It is at least what the queues hold.
func socketMemory(addresses ...netip.AddrPort) (int64, error) {
	connection, err := unix.Socket(unix.AF_NETLINK, unix.SOCK_RAW|unix.SOCK_CLOEXEC, unix.NETLINK_INET_DIAG)
	if err != nil {
		return 0, err
	}
	defer unix.Close(connection) //nolint:errcheck // nothing is written
	if err := unix.Sendto(connection, diagRequest(), 0, &unix.SockaddrNetlink{Family: unix.AF_NETLINK}); err != nil {
		return 0, err
	}
	bytes, buffer := int64(0), make([]byte, netlinkBufferBytes)
	for {
		count, _, err := unix.Recvfrom(connection, buffer, 0)
		if err != nil {
			return 0, err
		}
		messages, err := syscall.ParseNetlinkMessage(buffer[:count])
		if err != nil {
			return 0, err
		}
		for _, message := range messages {
			switch message.Header.Type {
			case unix.NLMSG_DONE:
				return bytes, nil
			case unix.NLMSG_ERROR:
				return 0, unix.EINVAL
			}
			bytes += messageMemory(message.Data, addresses)
		}
	}
}

// diagRequest asks for the memory of all TCP sockets.
func diagRequest() []byte {
	request := binary.NativeEndian.AppendUint32(nil, unix.SizeofNlMsghdr+diagRequestBytes)
	request = binary.NativeEndian.AppendUint16(request, unix.SOCK_DIAG_BY_FAMILY)
	request = binary.NativeEndian.AppendUint16(request, unix.NLM_F_REQUEST|unix.NLM_F_DUMP)
	request = append(request, make([]byte, 8)...) // sequence and port
	request = append(request, unix.AF_INET, unix.IPPROTO_TCP, 1<<(diagMemory-1), 0)
	request = binary.NativeEndian.AppendUint32(request, allStates)
	return append(request, make([]byte, unix.SizeofNlMsghdr+diagRequestBytes-len(request))...)
}

// messageMemory returns the memory of the socket that a message describes, 0 for one with
// another local address.
func messageMemory(data []byte, addresses []netip.AddrPort) int64 {
	if len(data) < diagMessageBytes {
		return 0
	}
	ip, _ := netip.AddrFromSlice(data[sourceAddress : sourceAddress+4])
	local, isNodes := netip.AddrPortFrom(ip, binary.BigEndian.Uint16(data[sourcePort:])), false
	for _, address := range addresses {
		isNodes = isNodes || address == local
	}
	if !isNodes {
		return 0
	}
	for attributes := data[diagMessageBytes:]; len(attributes) >= attributeHeader; {
		length := int(binary.NativeEndian.Uint16(attributes))
		if length < attributeHeader || length > len(attributes) {
			break
		}
		values := attributes[attributeHeader:length]
		if binary.NativeEndian.Uint16(attributes[2:]) == diagMemory && len(values) >= 4*memoryValues {
			return sumOf(values, receivedValue, reservedValue, queuedValue, optionsValue, backlogValue)
		}
		attributes = attributes[min(len(attributes), (length+3)&^3):]
	}
	return 0
}

func sumOf(values []byte, positions ...int) int64 {
	sum := int64(0)
	for _, position := range positions {
		sum += int64(binary.NativeEndian.Uint32(values[4*position:]))
	}
	return sum
}

// TestSocketMemoryCounts guards against a measurement that sees no memory of the kernel, with
// which the checks of the other tests could not fail.
func TestSocketMemoryCounts(t *testing.T) {
	const unreadBytes = 8 << 10
	c := quicktest.New(t)
	accepted, client := connectionPair(c)
	_, err := client.Write(make([]byte, unreadBytes))
	c.Assert(err, quicktest.IsNil)
	address := netip.MustParseAddrPort(accepted.LocalAddr().String())
	for bytes := int64(0); bytes < unreadBytes; {
		bytes, err = socketMemory(address)
		c.Assert(err, quicktest.IsNil)
	}
	other, err := socketMemory(netip.AddrPortFrom(address.Addr(), 1))
	c.Assert(err, quicktest.IsNil)
	c.Assert(other, quicktest.Equals, int64(0))
}

// connectionPair returns both ends of a connection.
func connectionPair(c *quicktest.C) (accepted, client net.Conn) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	defer listener.Close() //nolint:errcheck // it is not used any more
	client, err = net.Dial("tcp4", listener.Addr().String())
	c.Assert(err, quicktest.IsNil)
	accepted, err = listener.Accept()
	c.Assert(err, quicktest.IsNil)
	c.Cleanup(func() {
		_ = client.Close() // the test has ended
		_ = accepted.Close()
	})
	return accepted, client
}
