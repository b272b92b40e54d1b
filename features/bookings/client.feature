Feature: a client fails over only where that is safe

  Scenario: a refusal does not speak for an earlier try whose answer was lost
    # A booking's answer is lost on the way. The client asks another daemon,
    # which has no store and says not_run of its own try. The crew, told that
    # nothing was booked, books elsewhere, and two trailers come.
    When a client's try is lost and its next one is refused as not_run
    Then the client's call ends as unknown

  Scenario: a call without a key is not sent again after a lost answer
    When a client without a key loses the answer of a try
    Then the client's call may not be tried again

  Scenario: a client waits as told and asks again within its deadline
    # Another daemon makes the call and takes a while; the client is told to
    # come back, and gets the same answer.
    When a client books at one daemon while another makes the same booking
    Then the client's booking answer is the other's

  Scenario: a stream without its end mark is told as broken
    # The daemon is killed in mid-stream. Chunks came whole until then, so that
    # a client that takes the end of the bytes for the end of the answer shows
    # half a summary.
    When a client's stream stops between two events
    Then the client's stream is reported as broken

  Scenario: a client leaves an address out that refuses because it is stopping
    When a client meets a daemon that is stopping and one that serves
    Then the client's call was answered by the one that serves

  Scenario: a client whose daemon freezes gets its booking from another
    # The daemon that a crew's client has called is frozen before it has the
    # call, and its connection stays open. Waiting for it alone, the client
    # would spend its whole deadline on it.
    When a client books while the first daemon that it calls is frozen
    Then the client's booking answer came before the deadline, and once
