Feature: A process takes over what its predecessor has left of its retries

  Scenario Outline: <count> daemons that all restarted as planned before a failure
    # Guards against planned work that takes all daemons' retries away.
    When a service fails as <count> daemons have just restarted in turn
    Then within a second they use at least seven tenths of the slack
    And replicas get no more retries in any window than the allowance

    Examples: sizes
      | count |
      | 6     |
      | 64    |
      | 195   |
      | 348   |

  Scenario: daemons that are stopped, killed and started with any trouble
    # Guards against what is left that is used twice, used up before, or used
    # beside retries that its process still sends.
    When daemons live through 80 random stories of restarts
    Then replicas get no more retries in any window than the allowance
    And no host's processes send more than the host's part
    And processes went on with what others had left at least 1000 times

  Scenario Outline: <count> daemons of which half return fifteen seconds later
    # Guards against a share that the other daemons have taken meanwhile.
    When half of <count> daemons return with what they left long before
    Then replicas get no more retries in any window than the allowance

    Examples: sizes
      | count |
      | 6     |
      | 64    |
      | 195   |

  Scenario Outline: nothing is left by a process <which>
    # Guards against a share that is handed over before it is free.
    Given a process <which>
    When it stops as planned
    Then it leaves nothing, and sends no more retries

    Examples: processes
      | which                                    |
      | that has no share yet                    |
      | whose retry waits to be sent             |
      | whose machine's clock can't be told apart |

  Scenario Outline: what was left is not taken <when>
    # Guards against ages that can't be compared, and counts that are not known.
    Given what a process has left on its machine
    When a process starts <when>
    Then it has no share yet

    Examples: starts
      | when                                     |
      | on another machine                       |
      | on a machine whose clock was set back    |
      | 5.1 seconds later                        |
      | and knows nothing of the others          |

  Scenario: a process with a share of its own takes no other
    # Guards against what was saved twice where processes of a name overlap.
    Given what a process has left on its machine
    When a process starts that has a share of its own
    Then it does not take what was left

  Scenario Outline: a stored share with <fault> is none
    # Guards against a daemon that does not start for what the store holds.
    When a daemon starts from a stored share with <fault>
    Then it is registered, without a share

    Examples: faults
      | fault              |
      | no time            |
      | a time of day      |
      | a negative use     |
      | an infinite amount |
      | another type       |

  Scenario: a planned stop leaves the share in the store, and one process takes it
    # Guards against a share that two processes take.
    Given a daemon that has used 2 retries of its share, and stops as planned
    When two processes of its name start at once
    Then one of them has the rest of the share
    And the other one has none for two windows
    And the store was called once more than without

  Scenario: a process that starts beside one that took the share waits for longer
    # Guards against what a process uses that ends before its twin has its share.
    Given a daemon that has used 2 retries of its share, and stops as planned
    When a process of its name starts, and another one 3 seconds later
    Then the later one has none for 17 seconds

  Scenario Outline: a process takes what was left as the store <trouble>
    # Guards against a share that is lost, or used without a right to it.
    Given a daemon that has used 2 retries of its share, and stops as planned
    When a process of its name starts as the store <trouble>
    Then it has <now> whole retries 2 seconds after its start, and <soon> after 12

    Examples: troubles
      | trouble                    | now | soon |
      | answers                    | 2   | 4    |
      | refuses the first write    | 2   | 4    |
      | loses the first answer     | 0   | 0    |
      | refuses writes for seconds | 0   | 4    |

  Scenario: a stopped daemon's share is no host
    # Guards against daemons that count or call a daemon that has left.
    Given a daemon that has used 2 retries of its share, and stops as planned
    When another daemon reads the list
    Then it lists and counts no daemon of that name

  Scenario Outline: a daemon starts <minutes> minutes after another one was stopped
    # Guards against shares of daemons that never return, which stay in the store.
    Given a daemon that has used 2 retries of its share, and stops as planned
    When another daemon starts <minutes> minutes later
    Then what the stopped daemon left is <what>

    Examples: times
      | minutes | what    |
      | 50      | kept    |
      | 70      | removed |

  Scenario: a daemon returns as what it left is removed
    # Guards against the removal of a daemon that runs.
    Given a daemon that has used 2 retries of its share, and stops as planned
    When it returns while another daemon is about to remove what it left
    Then it stays registered

  Scenario Outline: a planned stop while the store <trouble>
    # Guards against stops that wait for the store, or fail without it.
    Given a daemon with a share
    When it stops as planned while the store <trouble>
    Then its stop has waited for at most <ms> ms at its end
    And its next process is listed, without a share

    Examples: troubles
      | trouble                     | ms  |
      | is away                     | 0   |
      | goes away during the stop   | 150 |
      | has its next process listed | 50  |

  Scenario: a daemon that is stopped as planned and started again, as processes
    # Guards against a share that is left and not taken by real processes.
    When replicas fail the first request after a planned restart
    Then the request is sent again
