Feature: connections of callers end with an answer to each request read

  Scenario: a request that arrives while an idle connection is closed
    # Guards against dropping bytes that arrived as the connection was closed.
    Given a front server whose answers are immediate
    When a request arrives on an idle connection just as a stop closes it
    Then the request is answered and the connection ends

  Scenario: a keep-alive connection is closed after the answer in progress
    # Guards against a stop that waits for the idle timeout of connections.
    Given a front server whose answers take 300 ms
    When it stops while an answer without "Connection: close" is in progress
    Then the answer is complete, and the server has stopped within a second

  Scenario: a partial request after a complete one
    # Guards against a partly read request that is dropped without an answer.
    Given a front server whose answers take 300 ms
    When a partial request follows one answered after refusals have begun
    Then the first one is answered and the second one is refused

  Scenario: a connection with an answer that a stop interrupts is reset
    # Guards against a truncated answer that looks complete to HTTP/1.0 callers.
    Given a front server whose answers never end
    When it aborts every connection after an answer has begun
    Then the caller's connection is reset

  Scenario: a connection with an answer that an error interrupts is reset
    # Guards against a truncated answer that looks complete to HTTP/1.0 callers.
    Given a front server whose answers end in an error
    When one caller sends a request
    Then the caller's connection is reset

  Scenario: a caller that disconnects in the middle of its answer
    # Guards against logging the disconnect as an internal error.
    Given a front server whose answers are large
    When a caller disconnects in the middle of its answer
    Then no error is logged

  Scenario: a HEAD request that is refused
    # Guards against a refusal that fails because it must not have a body.
    Given a front server whose answers are immediate
    When a HEAD request arrives with a body that is too large
    Then it is refused with a head and no body

  Scenario: a caller that connects during a stop and sends nothing
    # Guards against a stop that waits for a connection without any request.
    Given a front server whose answers are immediate
    When a caller connects to a server that is stopping and sends nothing
    Then its connection ends within a second

  Scenario: memory runs out while a request waits behind another one
    # Guards against a body without the bytes that were dropped, and against a
    # caller that waits for an answer to what was dropped.
    Given a front server whose answers take 300 ms
    When memory runs out as 20 kB of a request came behind one being answered
    Then the first one is answered, and the connection ends
