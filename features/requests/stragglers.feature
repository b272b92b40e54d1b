Feature: stragglers, retries and deadlines

  Scenario: one slow backend server does not make its share of requests late
    # One engine of ten turns ten times slower, and still answers. A tenth of
    # the callers would wait for it. The daemon must notice an attempt that is
    # later than usual, start another one elsewhere and take the first answer.
    Given a pool of 10 engines
    And requests have gone well for a while
    When engine-4 becomes 10 times slower
    And 400 requests come one every 10 ms
    Then all of them were answered whole
    And at least 99 in 100 took under 40 ms
    And extra attempts were at most 5 in 100

  Scenario: retries do not multiply an outage
    # All engines answer errors. Callers send on, and if each request were
    # tried five times, the engines would meet five times the load just when
    # they try to come back.
    Given a pool of 4 engines
    And requests have gone well for a while
    When every engine answers with errors
    And 300 requests come one every 10 ms
    Then the engines were called at most 1.2 times a request
    And no request was told that it did not run if it may have

  Scenario: a request that can't end in time is refused at once
    # Planners ask with a deadline that the stages have not met for a while.
    # Running it would delay the others and tell the planner only at the end.
    Given a pool of 4 engines
    And requests have gone well for a while
    When a request comes with a deadline of 3 ms
    Then it is refused at once as not run and told when to come back
    And it did not run

  Scenario: a leaving backend server gets no new work after its first refusal
    # The host list lags: it still shows an engine that drains. The engine
    # refuses what it gets, and must not be asked again by every request.
    Given a pool of 3 engines
    When engine-1 refuses because it is leaving
    And 100 requests come one every 10 ms
    Then all of them were answered whole
    And engine-1 was called at most once

  Scenario: a failing backend server is left out and comes back by itself
    # An engine's process dies and is started again after five seconds. Until
    # then requests should not try it each time; after that it must serve again
    # without an operator.
    Given a pool of 4 engines
    When engine-1 is killed
    And 200 requests come one every 10 ms
    Then all of them were answered whole
    And engine-1 was left out
    When engine-1 is started again
    And 300 requests come one every 100 ms
    Then engine-1 served again
