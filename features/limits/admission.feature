Feature: admission sheds what would be late, by priority and fair share

  Scenario: a burst at three times the capacity
    # Crews of five customers send three times what the engines can run. If
    # all of it begins at once, everything waits at the engines until it is
    # late. What can't end in time is refused at once, not run, and told when
    # to come back; the rest is answered in time.
    When the admission bench runs its burst in its tiny size
    Then nothing was late and every refusal was true and said when to return
    And half of those refused learned it within 500 ms
    And the naive admission answered late or not at all

  Scenario: one greedy customer takes nothing from the others
    # A script of one customer sends three times the capacity; four others go
    # on as every day. Without shares their requests wait behind the script's.
    When the admission bench runs its greedy customer in its tiny size
    Then the others lose nothing with the project's admission
    And the others lose with the naive admission

  Scenario: a small customer is served between a large one's requests
    # A planner asks one question while a buyer's script has forty waiting.
    Given an admission for one request at a time
    When "large" has 40 requests waiting and "small" asks once
    Then "small" is served after at most 2 requests of "large"

  Scenario: low priority is shed first
    # Night reports and flagger summaries compete for one engine. Those
    # refused must be the reports, also when the reports were there first.
    Given an admission for one request at a time
    When 20 requests of priority 0 wait and then 20 of priority 5
    Then every request of priority 5 that could end in time was served first
    And only requests of priority 0 were refused before the others began

  Scenario: callers that leave give up their place and their permit
    # Half of the callers hang up, some while they wait and some while they
    # are served. Places and permits that stay behind would shrink what the
    # daemon admits until it admits nothing.
    Given an admission for one request at a time
    When 10 callers wait and all of them leave
    Then the admission holds no place and no permit
    And the next request is admitted at once

  Scenario: a pool that is full holds up nobody who does not need it
    # The engines are full and forty summaries wait for them. A lookup that
    # only needs the retrievers must not wait behind these.
    Given an admission for one request at a time
    When "large" has 40 requests waiting and a lookup needs another pool
    Then the lookup is admitted at once

  Scenario: a caller that leaves before it reads its stream frees its permit
    # The connection breaks between the answer's head and the first token.
    # Nobody iterates over the body, so nothing in it would clean up.
    Given an admission deployment of one daemon
    When a caller leaves before it reads its stream
    Then the daemon of the admission holds no permit

  Scenario: the fair queue keeps the order of a plain sort
    # Whatever is added, served and dropped, the order is that of a version
    # that keeps everything and sorts at each look.
    When the fair queue and the sorted one are compared over 200 histories
    Then the admission orders never differ

  Scenario: requests that have become hopeless are refused while nothing moves
    # A backend server hangs, so that no request ends and none arrives. Those
    # at the end of the queue can't be served in time any more, and must learn
    # it at once instead of at their own last moment.
    When the only permit is held for ever and 10 requests wait
    Then the one at the end is refused 300 ms before the first of them
