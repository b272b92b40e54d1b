Feature: callers get their own whole answer, or the truth

  Scenario: an answer is passed on unchanged, and only the system sets its headers
    # A caller names itself another customer and brings a lease of a replica.
    # Both are the system's to say; the key is nobody's business behind it.
    When a request is answered by a replica
    Then status, body and signature are the replica's own
    And the replica is told its id, the customer and the time left
    And it is told neither the key nor what only the system may set

  Scenario Outline: an answer that is <fault> is nobody's
    # A replica sends an answer of another request, half of one, or bytes that
    # are none. The caller must not see it; another replica is asked.
    When one of two replicas answers with <fault>
    Then every caller of an idempotent request gets its own whole answer

    Examples:
      | fault    |
      | foreign  |
      | cut      |
      | unsigned |
      | not_http |
      | extra    |
      | unframed |
      | errors   |

  Scenario Outline: a booking whose answer is lost by <fault> is not sent again
    # The replica books and its answer never comes whole. Sent to the second
    # replica, two trailers go to one bridge; told "not run", the crew does it.
    When a booking's answer is lost by <fault>
    Then the booking ran once and the caller is told that the outcome is unknown

    Examples:
      | fault    |
      | cut      |
      | hang     |
      | foreign  |
      | unsigned |

  Scenario: a refusal says that it did not run and when to come back
    When every replica says that it is full
    Then the caller is told that it did not run and when to come back

  Scenario: a request runs as often as its route allows and no more
    # All replicas fail what they run. Each further try is load on a service
    # that is failing, and over what the operator allows.
    When every replica fails what it runs
    Then the request ran twice and the caller has the replica's own failure

  Scenario: a reused address is found out by the first request
    # A replica is gone and its address another's before the list says so.
    When a replica's address belongs to another one by now
    Then every caller of an idempotent request gets its own whole answer
    And it is asked by its old name once at most

  Scenario: work for a caller that has left is given up
    # The caller hangs up. The replica must not go on for nobody.
    When a caller leaves while its request is worked on
    Then the replica's connection ends within a quarter of a second

  Scenario: a route's time is kept
    When a replica is silent for longer than the route allows
    Then the caller has its final answer at the route's time

  Scenario: a ready answer is delivered, though its time ends meanwhile
    # Guards against an answer that is cut while a slow caller takes it in.
    When a caller takes a large answer in after the route's time
    Then it has the whole answer

  Scenario: a caller that leaves with its whole answer was answered
    # Guards against answers that count as given up, at the engine and in logs.
    When callers close their connections as soon as their streams have ended
    Then each request is logged as answered

  Scenario: a request that meets an error of the daemon's own is answered
    # Guards against a connection that closes without a word.
    When an error that the code does not expect ends a request
    Then the caller is told of it, and the next request is served

  Scenario Outline: <what> is refused with <status> and harms nobody
    When a caller sends <what>
    Then it gets <status> with one line, and nobody else's request suffers

    Examples:
      | what                       | status |
      | two lengths                | 400    |
      | a space in a header's name | 400    |
      | an odd chunk               | 400    |
      | no id                      | 400    |
      | a key that nobody holds    | 401    |
      | a path without a route     | 404    |
      | a body that is too large   | 413    |
      | headers that are too large | 431    |
      | a head that never ends     | 408    |

  Scenario Outline: a caller whose body does not come, with <what>
    # Guards against reading bodies of requests that are refused whatever their
    # bodies are, and against waiting for longer than the caller does.
    When a caller sends <what> and no body
    Then it gets <status> with one line, and nobody else's request suffers

    Examples:
      | what                       | status |
      | an unknown key             | 401    |
      | an unknown path            | 404    |
      | 300 ms until its deadline  | 408    |

  Scenario: a caller that is still sending can read its refusal
    # Guards against a reset that overtakes the refusal.
    When a caller reads only after it has sent a body that is too large
    Then it gets 413 with one line, and nobody else's request suffers

  Scenario: one connection carries requests in chunks and without a body
    When two requests come on one connection, the first in chunks
    Then both are answered in order and the body is the caller's

  Scenario: a stream is passed on event by event
    When a plain stream meets nothing
    Then the caller has every event once, in order, and the end

  Scenario Outline: a stream that may be resumed goes on elsewhere after <fault>
    # The engine dies within an event. What of it came is not passed on, and
    # the other engine begins behind the last whole one.
    When a resumable stream meets <fault>
    Then the caller has every event once, in order, and the end

    Examples:
      | fault |
      | break |
      | spoil |

  Scenario Outline: a stream breaks off at an engine that <how>
    # Guards against events of two software versions in one answer: an engine
    # that came back with other software, its entry being late.
    When a stream that may be resumed breaks off at an engine that <how>
    Then <what>

    Examples: starts
      | how                         | what                                                     |
      | has the start of its entry  | the caller has every event once, in order, and the end   |
      | has started again           | the caller sees that its stream was cut, and it ran once |

  Scenario Outline: a stream cut by <fault> never looks complete
    # It may not be resumed. Ended in good order the caller would take half a
    # summary for the whole.
    When a plain stream meets <fault>
    Then the caller sees that its stream was cut, and it ran once

    Examples:
      | fault      |
      | break      |
      | skip       |
      | half_event |
      | spoil      |

  Scenario: pieces of several requests share calls and leave nothing behind
    When four requests with stages come at once
    Then all are answered, their pieces share calls and all results are freed
    And each engine request names the results of its own last stage

  Scenario: the hops of a request are found by its id
    # A crew's answer came late. Its id is all that the council has; each
    # daemon that worked for it tells what it did, and how long it took.
    When a request with stages has been answered
    Then its spans name the request, its pieces and its attempt
    And another request's id names none of them

  Scenario Outline: results that are <lost> are made again
    # A maker restarts and its results are gone, before the next stage or
    # before the engine fetched them.
    When a stage's inputs are <lost> once
    Then they are made again and the caller has its answer

    Examples:
      | lost        |
      | gone        |
      | inputs_gone |
