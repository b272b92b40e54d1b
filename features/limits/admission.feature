Feature: admission refuses late requests by priority and fair share

  Scenario: a burst at three times the capacity
    # Five customers send three times what the engines can run. Without
    # admission control all requests queue at the engines until they are late.
    # Requests that cannot end in time must be refused immediately, without
    # having run and with a retry time; the others are answered in time.
    When the admission bench runs its burst in its tiny size
    Then no request was late and every refusal was correct with a retry time
    And half of the refusals were sent within 500 ms
    And the naive admission answered late or not at all

  Scenario: one greedy customer does not affect the others
    # One customer sends three times the capacity, four others their usual load.
    # Without fair shares their requests wait behind those of the first.
    When the admission bench runs its greedy customer in its tiny size
    Then the others keep full attainment with the project's admission
    And the others lose attainment with the naive admission

  Scenario: a small customer is served between a large one's requests
    # One customer sends a single request while another has forty queued.
    Given an admission for one request at a time
    When "large" has 40 requests waiting and "small" sends one
    Then "small" is served after at most 2 requests of "large"

  Scenario: low priority is shed first
    # Requests of two priorities compete for one engine. Those of low priority
    # must be refused, even if they arrived first.
    Given an admission for one request at a time
    When 20 requests of priority 0 wait and then 20 of priority 5
    Then every request of priority 5 that could end in time was served first
    And only requests of priority 0 were refused before the others began

  Scenario: callers that disconnect release their queue entry and permit
    # Callers disconnect, some while queued and some while served. Queue entries
    # and permits that are not released would reduce what the daemon admits
    # until it admits nothing.
    Given an admission for one request at a time
    When 10 callers wait and all of them disconnect
    Then the admission has no queue entry and no permit in use
    And the next request is admitted at once

  Scenario: a full pool delays only requests that need it
    # The engines are full and forty requests wait for them. A request that
    # needs only the retrievers must not wait behind these.
    Given an admission for one request at a time
    When "large" has 40 requests waiting and a lookup needs another pool
    Then the lookup is admitted at once

  Scenario: a caller that leaves before it reads its stream frees its permit
    # The connection breaks between the answer's head and the first token. The
    # body is never iterated, so clean-up code within it does not run.
    Given an admission deployment of one daemon
    When a caller disconnects before it reads its stream
    Then the daemon of the admission has no permit in use

  Scenario: the fair queue keeps the order of a plain sort
    # For any sequence of additions and removals the order is the same as in a
    # reference queue that sorts all entries at each access.
    When the fair queue and a sorted one are compared over 200 sequences
    Then the two queue orders never differ

  Scenario: requests that would be late are refused while none ends or arrives
    # A backend server hangs, so that no request ends and none arrives.
    # Requests at the end of the queue can no longer be served in time and must
    # be refused immediately, not just before their own deadline.
    When the only permit is held indefinitely and 10 requests wait
    Then the one at the end is refused 300 ms before the first of them
