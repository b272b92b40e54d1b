Feature: planned stops cut nothing, and lost owners double nothing

  Scenario: a rolling restart of three daemons under load cuts no request
    # Callers keep addresses and connections, call for whole answers, streams
    # and bookings without a pause, and each daemon in turn is told to stop,
    # twice, and started again. Cut at the listener's closing or by the second
    # signal, a caller would lose an answer that was under way.
    When three daemons are restarted in turn under 6 callers, each told twice
    Then nothing was cut or refused by the restarts, and no booking was doubled
    And every restarted daemon had ended with status 0

  Scenario: an owner that is frozen in mid-call stays the only one to book
    # The daemon that makes a booking is frozen with SIGSTOP. The crew asks
    # another one, which must not book again; when the first wakes, both tell
    # of the one booking.
    Given real daemons whose plain service takes 1500 ms
    When the booking's daemon gets SIGSTOP in mid-call, and SIGCONT later
    Then the other daemon said unknown while the owner was frozen
    And once it woke, the other daemon names the booking's answer
    And the plain service made 1 booking

  Scenario: an owner that is killed in mid-call leaves one booking
    # SIGKILL leaves the record at dispatching. Nobody may book again: the
    # plain service may have done it, and has.
    Given real daemons whose plain service takes 1500 ms
    When the booking's daemon gets SIGKILL in mid-call
    Then the other daemon said unknown while the owner was frozen
    And the plain service made 1 booking

  Scenario: a daemon that gets SIGHUP in mid-call goes on
    # Guards against the signal's default, which ends a process with all that is
    # in flight.
    Given real daemons whose plain service takes 1500 ms
    When the booking's daemon gets SIGHUP in mid-call
    Then its caller has the booking's answer
    And the plain service made 1 booking
