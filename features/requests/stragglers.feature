Feature: stragglers, retries and deadlines

  Scenario: one slow backend server does not make its share of requests late
    # One engine of ten becomes ten times slower but still answers, so a tenth of
    # the callers would wait for it. The daemon must detect an attempt that takes
    # longer than usual, hedge it and use the first answer.
    Given a pool of 10 engines
    And requests have succeeded for a while
    When engine-4 becomes 10 times slower
    And 400 requests arrive one every 10 ms
    Then all of them got complete answers
    And at least 99 in 100 took less than 40 ms
    And extra attempts were at most 5 in 100

  Scenario: retries do not multiply an outage
    # All engines answer with errors while callers keep sending. Five attempts
    # for each request would multiply the load by five while the engines recover.
    Given a pool of 4 engines
    And requests have succeeded for a while
    When every engine answers with errors
    And 300 requests arrive one every 10 ms
    Then the engines were called at most 1.2 times a request
    And no request that may have run was reported as not run

  Scenario: a request that cannot meet its deadline is refused at once
    # A request has a deadline shorter than the recent durations of its stages.
    # Running it would delay others and report the failure only at the end.
    Given a pool of 4 engines
    And requests have succeeded for a while
    When a request arrives with a deadline of 3 ms
    Then it is refused at once as not run, with a time to retry
    And it did not run

  Scenario: a leaving backend server gets no new work after its first refusal
    # The host list is outdated and still contains an engine that drains. The
    # engine refuses calls, and must not be called again for every request.
    Given a pool of 3 engines
    When engine-1 refuses because it is leaving
    And 100 requests arrive one every 10 ms
    Then all of them got complete answers
    And engine-1 was called at most once

  Scenario: a failing backend server is ejected and readmitted automatically
    # An engine's process exits and is restarted seconds later. Until then requests
    # must not try it each time; after that it must serve again without an operator.
    Given a pool of 4 engines
    When engine-1 is killed
    And 200 requests arrive one every 10 ms
    Then all of them got complete answers
    And engine-1 was ejected
    When engine-1 is restarted
    And 300 requests arrive one every 100 ms
    Then engine-1 served again
